#include "bluebellkeel/Policy/LikelihoodRatio.h"
#include "bluebellkeel/Policy/QualityEstimate.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

static constexpr double MaxFalsePositiveRate = 0.001;

/// Half-width of the band around the target: a share this far below the target
/// is tested against one at least this far above it.
static constexpr double Margin = 0.02;

/// Minimum number of ratings that prove a version better than expected.
static constexpr std::uint64_t RatingsForProof = 50;

/// Keeps shares away from 0 and 1, where the logarithms are infinite.
static double clampShare(double Share) {
  constexpr double Edge = 0.01;
  return std::clamp(Share, Edge, 1 - Edge);
}

double bluebellkeel::logLikelihoodRatio(double Expected, double Worse,
                                        const quality_counts &Counts) {
  double Better = clampShare(Expected);
  double Lower = std::min(clampShare(Worse), Better);
  return static_cast<double>(Counts.good()) * std::log(Lower / Better) +
         static_cast<double>(Counts.bad()) *
             std::log((1 - Lower) / (1 - Better));
}

bool bluebellkeel::isRefuted(double Expected, double Worse,
                             const quality_counts &Counts) {
  return logLikelihoodRatio(Expected, Worse, Counts) >=
         std::log(1 / MaxFalsePositiveRate);
}

bool bluebellkeel::meetsTarget(double Prior, double Target,
                               const quality_counts &Counts) {
  if (Prior >= Target)
    return !isRefuted(std::max(Prior, Target + Margin), Target - Margin,
                      Counts);
  if (Counts.total() < RatingsForProof)
    return false;
  return quality_estimate(Prior, Counts).lowerBound() >= Target;
}
