#ifndef BLUEBELLKEEL_RELAY_SERVICERELAY_H
#define BLUEBELLKEEL_RELAY_SERVICERELAY_H

#include "bluebellkeel/Relay/Refusal.h"
#include "bluebellkeel/Relay/RelayDependencies.h"
#include "bluebellkeel/Relay/ServiceCall.h"
#include "bluebellkeel/Relay/ServiceResponse.h"
#include <set>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Processes one service call, from its checks to billing. A call that may run
/// only once is dispatched only if its claim is the first one in the log; if it
/// may have run after the dispatch, the refusal says run_state::Unknown.
class service_relay {
public:
  /// Maximum number of attempts for a call that may run more than once.
  static constexpr unsigned MaxAttempts = 3;

  explicit service_relay(relay_dependencies &Deps) : Deps(Deps) {}

  tl::expected<service_response, refusal> relay(const service_call &Call);

private:
  using reply_result = tl::expected<service_response, refusal>;
  using slot_result = tl::expected<upstream_slot, refusal>;

  std::optional<refusal> checkCall(const service_call &Call) const;
  std::optional<refusal> recheck(const service_call &Call) const;
  std::optional<refusal> checkTicket(const service_call &Call) const;
  reply_result runRepeatable(const service_call &Call);
  reply_result runOnce(const service_call &Call);
  reply_result runClaimed(const service_call &Call,
                          const std::string &AttemptId);
  slot_result takeSlot(const service_call &Call);
  tl::expected<service_response, attempt_error>
  dispatch(const service_call &Call, const upstream_id &Upstream,
           const std::string &AttemptId);
  reply_result commitBill(const service_call &Call,
                          const service_response &Reply);

  relay_dependencies &Deps;
  std::set<upstream_id> Tried;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVICERELAY_H
