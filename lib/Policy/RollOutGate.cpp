#include "bluebellkeel/Policy/RollOutGate.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

/// The loss of quality that a roll-out is stopped for.
static constexpr double MaxLoss = 0.1;

/// A good version is stopped wrongly in at most 1 of 1,000 roll-outs (Wald's
/// bound for the sequential test).
static constexpr double MaxWrongStops = 0.001;

bool roll_out_gate::stopped(const version_settings &Version,
                            const quality_counts &Counts) {
  constexpr double Edge = 0.01;
  double Expected = std::clamp(Version.quality(), 2 * Edge, 1 - Edge);
  double Worse = std::max(Edge, Expected - MaxLoss);
  double Good = static_cast<double>(Counts.good());
  double Bad = static_cast<double>(Counts.bad());
  double Evidence = Good * std::log(Worse / Expected) +
                    Bad * std::log((1 - Worse) / (1 - Expected));
  return Evidence >= std::log(1 / MaxWrongStops);
}

bool roll_out_gate::admits(const version_settings &Version,
                           const quality_counts &Counts,
                           random_source &Random) {
  if (stopped(Version, Counts))
    return false;
  double Share = Version.share();
  if (Counts.total() < EnoughRatings)
    Share = std::min(Share, TrialShare);
  return Random.fraction() < Share;
}
