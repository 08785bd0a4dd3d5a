#ifndef BLUEBELLKEEL_RELAY_FORWARDATTEMPT_H
#define BLUEBELLKEEL_RELAY_FORWARDATTEMPT_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Relay/ForwardCall.h"
#include "bluebellkeel/Upstream/UpstreamListing.h"
#include <memory>
#include <optional>

namespace bluebellkeel {

/// One sending of a call to one upstream.
class forward_attempt : public comparable<forward_attempt> {
public:
  /// What an attempt is made from.
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

  explicit forward_attempt(fields Fields) : Held(std::move(Fields)) {}

  const forward_call &call() const { return *Held.Call; }
  const upstream_listing &upstream() const { return Held.Upstream; }
  /// Empty on a public route.
  const account_id &account() const { return Held.Account; }
  /// The model chosen among a route's sizes; empty when the caller named it.
  const std::string &model() const { return Held.Model; }
  const std::optional<unsigned> &priority() const { return Held.Priority; }
  /// The event after which a stream goes on.
  const std::optional<std::uint64_t> &lastEvent() const {
    return Held.LastEvent;
  }
  /// Time that the upstream may take.
  milliseconds timeLeft() const { return Held.TimeLeft; }
  /// Time until the head of the answer.
  milliseconds firstByteLimit() const { return Held.FirstByteLimit; }
  /// Time between two pieces of the answer.
  milliseconds idleLimit() const { return Held.IdleLimit; }
  auto key() const {
    return std::tie(*Held.Call, Held.Upstream, Held.Account, Held.Model,
                    Held.Priority, Held.LastEvent, Held.TimeLeft,
                    Held.FirstByteLimit, Held.IdleLimit);
  }

private:
  fields Held;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDATTEMPT_H
