#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/RollOutLimits.h"

namespace bluebellkeel {

/// Computes the share of sessions on the new version during a roll-out. The
/// share is constant in the first half, so that no session changes its version,
/// and then grows to all sessions.
class roll_out_schedule {
public:
  roll_out_schedule(milliseconds Duration, roll_out_limits Limits)
      : Duration(Duration), Limits(Limits) {}

  /// Returns the share from 0 to 1 when \p Elapsed has passed since the order.
  double shareAt(milliseconds Elapsed) const;
  /// True while sessions must not move to the new version.
  bool pinsSessions(milliseconds Elapsed) const;
  /// True once the old version has had time to finish its running requests.
  bool finished(milliseconds Elapsed) const;

private:
  double elapsedFraction(milliseconds Elapsed) const;

  milliseconds Duration;
  roll_out_limits Limits;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H
