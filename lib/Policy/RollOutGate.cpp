#include "bluebellkeel/Policy/RollOutGate.h"
#include "bluebellkeel/Policy/LikelihoodRatio.h"
#include <algorithm>

using namespace bluebellkeel;

/// Loss of quality at which a roll-out is stopped.
static constexpr double MaxLoss = 0.1;

bool roll_out_gate::stopped(const version_settings &Version,
                            const quality_counts &Counts) {
  return isRefuted(Version.quality(), Version.quality() - MaxLoss, Counts);
}

bool roll_out_gate::admits(const version_settings &Version,
                           const quality_counts &Counts,
                           random_source &Random) {
  if (stopped(Version, Counts))
    return false;
  double Share = Version.share();
  if (Counts.total() < MinRatings)
    Share = std::min(Share, TrialShare);
  return Random.uniformReal() < Share;
}
