#ifndef BLUEBELLKEEL_RELAY_FORWARDCALL_H
#define BLUEBELLKEEL_RELAY_FORWARDCALL_H

#include "bluebellkeel/Core/RequestId.h"
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
    std::string Body;
    monotonic_time Arrived;
  };

  explicit forward_call(fields Fields) : Held(std::move(Fields)) {}

  const request_id &id() const { return Held.Id; }
  const std::string &method() const { return Held.Method; }
  /// Path and query as the caller wrote them.
  const std::string &target() const { return Held.Target; }
  /// Host name in lower case, without a port.
  const std::string &host() const { return Held.Host; }
  const std::string &path() const { return Held.Path; }
  /// API key of the account; empty if the request has none.
  const std::string &accountKey() const { return Held.Key; }
  /// Session that groups related requests; empty if the caller named none.
  const std::string &session() const { return Held.Session; }
  /// How long the caller waits, counted from arrived(); empty if the caller set
  /// no deadline.
  const std::optional<milliseconds> &deadline() const { return Held.Deadline; }
  /// Number of the last event that the caller has of a broken stream; empty for
  /// a new stream.
  const std::optional<std::uint64_t> &lastEvent() const {
    return Held.LastEvent;
  }
  const prompt &text() const { return Held.Prompt; }
  /// Header fields forwarded to the upstream unchanged.
  const header_list &headers() const { return Held.Headers; }
  const std::string &body() const { return Held.Body; }
  monotonic_time arrived() const { return Held.Arrived; }
  auto key() const {
    return std::tie(Held.Id, Held.Method, Held.Target, Held.Host, Held.Key,
                    Held.Session, Held.Deadline, Held.LastEvent, Held.Prompt,
                    Held.Headers, Held.Body, Held.Arrived);
  }

private:
  fields Held;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDCALL_H
