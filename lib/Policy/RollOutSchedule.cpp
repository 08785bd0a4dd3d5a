#include "bluebellkeel/Policy/RollOutSchedule.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

/// Part of the allowed share that is used during the trial; the rest covers
/// requests between the first bad responses and the end of the trial.
static constexpr double TrialPart = 0.55;

/// Fractions of the duration. Requests without a session join at once.
static constexpr double SessionsJoinAt = 0.50;
static constexpr double TrialEnd = 0.62;
static constexpr double FullShareAt = 0.81;
static constexpr double CompleteAt = 0.93;

/// Exponent of the growth: the share grows slowly at first, when faults under
/// load appear.
static constexpr double GrowthPower = 1.5;

double roll_out_schedule::elapsedFraction(milliseconds Elapsed) const {
  if (Duration.count() <= 0)
    return 1;
  return static_cast<double>(Elapsed.count()) /
         static_cast<double>(Duration.count());
}

double roll_out_schedule::shareAt(milliseconds Elapsed,
                                  const assignment_key &Key) const {
  if (Key.hasSession() && elapsedFraction(Elapsed) < SessionsJoinAt)
    return 0;
  double Trial = TrialPart * Limits.trialShare();
  double Grown =
      (elapsedFraction(Elapsed) - TrialEnd) / (FullShareAt - TrialEnd);
  Grown = std::clamp(Grown, 0.0, 1.0);
  return Trial + (1 - Trial) * std::pow(Grown, GrowthPower);
}

bool roll_out_schedule::finished(milliseconds Elapsed) const {
  return elapsedFraction(Elapsed) >= CompleteAt;
}
