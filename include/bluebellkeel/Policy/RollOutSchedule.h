#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/AssignmentKey.h"
#include "bluebellkeel/Policy/RollOutLimits.h"

namespace bluebellkeel {

/// Computes the share of requests on the new version during a roll-out: a small
/// constant share during a trial, which then grows to all requests. Sessions
/// join only in the second half. Until then they must not change their version,
/// and no instance knows every session that has run on the old one.
class roll_out_schedule {
public:
  roll_out_schedule(milliseconds Duration, roll_out_limits Limits)
      : Duration(Duration), Limits(Limits) {}

  /// Returns the share from 0 to 1 of the requests like \p Key when \p Elapsed
  /// has passed since the order.
  double shareAt(milliseconds Elapsed, const assignment_key &Key) const;
  /// True once the old version has had time to finish its running requests.
  bool finished(milliseconds Elapsed) const;

private:
  double elapsedFraction(milliseconds Elapsed) const;

  milliseconds Duration;
  roll_out_limits Limits;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSCHEDULE_H
