#ifndef BLUEBELLKEEL_POLICY_QUALITYESTIMATE_H
#define BLUEBELLKEEL_POLICY_QUALITYESTIMATE_H

#include "bluebellkeel/Policy/QualityCounts.h"
#include <tuple>

namespace bluebellkeel {

/// Estimate of a version's share of good responses.
class quality_estimate : public comparable<quality_estimate> {
public:
  /// Weight of the operators' expectation, in ratings.
  static constexpr double PriorRatings = 20;

  /// Combines the operators' expectation \p Prior with the ratings \p Counts.
  quality_estimate(double Prior, const quality_counts &Counts);

  double mean() const { return Mean; }
  /// Lower bound of the share at a confidence of 95%. Without ratings it equals
  /// the operators' expectation.
  double lowerBound() const { return LowerBound; }
  auto key() const { return std::tie(Mean, LowerBound); }

private:
  double Mean;
  double LowerBound;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUALITYESTIMATE_H
