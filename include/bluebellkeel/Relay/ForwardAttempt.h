#ifndef BLUEBELLKEEL_RELAY_FORWARDATTEMPT_H
#define BLUEBELLKEEL_RELAY_FORWARDATTEMPT_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Relay/ForwardCall.h"
#include "bluebellkeel/Upstream/UpstreamListing.h"
#include <memory>
#include <optional>

namespace bluebellkeel {

/// One attempt to run a call on one upstream.
class forward_attempt : public comparable<forward_attempt> {
public:
  /// Constructor arguments of forward_attempt.
  struct fields {
    std::shared_ptr<const forward_call> Call;
    upstream_listing Upstream;
    account_id Account;
    std::string Model;
    std::optional<unsigned> Priority;
    std::optional<std::uint64_t> LastEvent;
    milliseconds TimeLeft{0};
    milliseconds FirstByteLimit{0};
    milliseconds IdleLimit{0};
  };

  explicit forward_attempt(fields Fields) : Content(std::move(Fields)) {}

  const forward_call &call() const { return *Content.Call; }
  const upstream_listing &upstream() const { return Content.Upstream; }
  /// Empty on a public route and if no account is configured.
  const account_id &account() const { return Content.Account; }
  /// Model chosen from forward_route::sizes(); empty if the caller names it.
  const std::string &model() const { return Content.Model; }
  const std::optional<unsigned> &priority() const { return Content.Priority; }
  /// Number of the event after which the stream resumes; empty to start at the
  /// first event.
  const std::optional<std::uint64_t> &lastEvent() const {
    return Content.LastEvent;
  }
  /// Time that the upstream may take in total.
  milliseconds timeLeft() const { return Content.TimeLeft; }
  /// Limit on the time until the response head.
  milliseconds firstByteLimit() const { return Content.FirstByteLimit; }
  /// Limit on the time between two pieces of the response.
  milliseconds idleLimit() const { return Content.IdleLimit; }
  auto key() const {
    return std::tie(*Content.Call, Content.Upstream, Content.Account,
                    Content.Model, Content.Priority, Content.LastEvent,
                    Content.TimeLeft, Content.FirstByteLimit,
                    Content.IdleLimit);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDATTEMPT_H
