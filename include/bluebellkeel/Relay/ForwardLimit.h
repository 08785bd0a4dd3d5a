#ifndef BLUEBELLKEEL_RELAY_FORWARDLIMIT_H
#define BLUEBELLKEEL_RELAY_FORWARDLIMIT_H

#include "bluebellkeel/Relay/ForwardCall.h"
#include "bluebellkeel/Relay/TimeLimit.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"

namespace bluebellkeel {

/// The earlier one of the caller's deadline and the timeout that the newest
/// configuration gives the call's route.
class forward_limit final : public time_limit {
public:
  /// Longest wait where neither is known; no answer takes longer.
  static constexpr milliseconds MaxWait{60000};

  forward_limit(const forward_call &Call, const route_table_holder &Tables)
      : Call(Call), Tables(Tables) {}

  monotonic_time at() const override;

private:
  const forward_call &Call;
  const route_table_holder &Tables;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDLIMIT_H
