#ifndef BLUEBELLKEEL_RELAY_FORWARDCALL_H
#define BLUEBELLKEEL_RELAY_FORWARDCALL_H

#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Core/SharedText.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Prompt.h"
#include "bluebellkeel/Relay/HeaderList.h"
#include <optional>
#include <string>

namespace bluebellkeel {

/// A caller's request that is forwarded unchanged.
class forward_call : public comparable<forward_call> {
public:
  /// Constructor arguments of forward_call.
  struct fields {
    request_id Id;
    std::string Method;
    std::string Target;
    std::string Host;
    std::string Path;
    std::string Key;
    std::string Session;
    std::optional<milliseconds> Deadline;
    std::optional<std::uint64_t> LastEvent;
    prompt Prompt;
    header_list Headers;
    shared_text Body;
    monotonic_time Arrived;
  };

  explicit forward_call(fields Fields) : Content(std::move(Fields)) {}

  const request_id &id() const { return Content.Id; }
  const std::string &method() const { return Content.Method; }
  /// Path and query as the caller wrote them.
  const std::string &target() const { return Content.Target; }
  /// Host name in lower case, without a port.
  const std::string &host() const { return Content.Host; }
  const std::string &path() const { return Content.Path; }
  /// API key of the account; empty if the request has none.
  const std::string &accountKey() const { return Content.Key; }
  /// Session that groups related requests; empty if the caller named none.
  const std::string &session() const { return Content.Session; }
  /// How long the caller waits, counted from arrived(); empty if the caller set
  /// no deadline.
  const std::optional<milliseconds> &deadline() const {
    return Content.Deadline;
  }
  /// Number of the last event that the caller has of a broken stream; empty for
  /// a new stream.
  const std::optional<std::uint64_t> &lastEvent() const {
    return Content.LastEvent;
  }
  const prompt &requestPrompt() const { return Content.Prompt; }
  /// Header fields forwarded to the upstream unchanged.
  const header_list &headers() const { return Content.Headers; }
  const std::string &body() const { return Content.Body.text(); }
  /// Returns the body without copying its bytes.
  const shared_text &sharedBody() const { return Content.Body; }
  monotonic_time arrived() const { return Content.Arrived; }
  auto key() const {
    return std::tie(Content.Id, Content.Method, Content.Target, Content.Host,
                    Content.Key, Content.Session, Content.Deadline,
                    Content.LastEvent, Content.Prompt, Content.Headers,
                    Content.Body, Content.Arrived);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDCALL_H
