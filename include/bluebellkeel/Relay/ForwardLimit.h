#ifndef BLUEBELLKEEL_RELAY_FORWARDLIMIT_H
#define BLUEBELLKEEL_RELAY_FORWARDLIMIT_H

#include "bluebellkeel/Relay/ForwardCall.h"
#include "bluebellkeel/Relay/TimeLimit.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"

namespace bluebellkeel {

/// The earlier of the caller's deadline and the timeout that the newest
/// configuration sets for the call's route.
class forward_limit final : public time_limit {
public:
  /// Upper bound on the wait; applies alone if neither a deadline nor a timeout
  /// is known.
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
