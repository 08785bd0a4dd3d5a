#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/RollOutLimits.h"

namespace bluebellkeel {

/// The share of sessions on the new version over a roll-out: constant in the
/// first half, so that no session moves, then growing to all of them.
class roll_out_schedule {
public:
  roll_out_schedule(milliseconds Duration, roll_out_limits Limits)
      : Duration(Duration), Limits(Limits) {}

  /// The share from 0 to 1 when \p Elapsed has passed since the order.
  double shareAt(milliseconds Elapsed) const;
  /// True while a session may not move to the new version.
  bool pinsSessions(milliseconds Elapsed) const;
  /// True once the old version has had time to finish what it ran.
  bool finished(milliseconds Elapsed) const;

private:
  double elapsedFraction(milliseconds Elapsed) const;

  milliseconds Duration;
  roll_out_limits Limits;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H
