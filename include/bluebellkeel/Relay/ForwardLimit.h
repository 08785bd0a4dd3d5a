#ifndef BLUEBELLKEEL_RELAY_FORWARDLIMIT_H
#define BLUEBELLKEEL_RELAY_FORWARDLIMIT_H

#include "bluebellkeel/Relay/ForwardCall.h"
#include "bluebellkeel/Relay/ServingStatus.h"
#include "bluebellkeel/Relay/TimeLimit.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"

namespace bluebellkeel {

/// The earliest of the caller's deadline, the timeout that the newest
/// configuration sets for the call's route, and the end of this instance if it
/// stops.
class forward_limit final : public time_limit {
public:
  /// Upper bound on the wait; applies alone if neither a deadline nor a timeout
  /// is known.
  static constexpr milliseconds MaxWait{60000};

  forward_limit(const forward_call &Call, const route_table_holder &Tables,
                const serving_status &ServingStatus)
      : Call(Call), Tables(Tables), ServingStatus(ServingStatus) {}

  monotonic_time at() const override;
  /// Returns the limit that holds if this instance does not stop: the call may
  /// take until then.
  monotonic_time withoutStop() const;

private:
  const forward_call &Call;
  const route_table_holder &Tables;
  const serving_status &ServingStatus;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDLIMIT_H
