#include "bluebellkeel/Policy/QualityEstimate.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

/// One-sided 95% quantile of the standard normal distribution.
static constexpr double ZScore95 = 1.645;

quality_estimate::quality_estimate(double Prior, const quality_counts &Counts) {
  double Rated = static_cast<double>(Counts.total());
  double Weight = PriorRatings + Rated;
  Mean = (Prior * PriorRatings + static_cast<double>(Counts.good())) / Weight;
  double Spread = ZScore95 * std::sqrt(Mean * (1 - Mean) / Weight);
  // Scale the interval by the share of ratings in the total weight: without
  // ratings, the operators' expectation is taken as exact.
  double Share = Rated / Weight;
  LowerBound = std::max(0.0, Mean - Spread * Share);
}
