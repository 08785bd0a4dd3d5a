#ifndef BLUEBELLKEEL_POLICY_QUALITYESTIMATE_H
#define BLUEBELLKEEL_POLICY_QUALITYESTIMATE_H

#include "bluebellkeel/Policy/QualityCounts.h"
#include <tuple>

namespace bluebellkeel {

/// What is believed of a version's share of good answers.
class quality_estimate : public comparable<quality_estimate> {
public:
  /// The operators' expectation counts like this many ratings.
  static constexpr double PriorRatings = 20;

  /// Joins the operators' expectation \p Prior with what was rated.
  quality_estimate(double Prior, const quality_counts &Counts);

  double mean() const { return Mean; }
  /// The share is at least this with a confidence of 95 in 100; before any
  /// rating it is the operators' expectation itself.
  double lowerBound() const { return LowerBound; }
  auto key() const { return std::tie(Mean, LowerBound); }

private:
  double Mean;
  double LowerBound;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUALITYESTIMATE_H
