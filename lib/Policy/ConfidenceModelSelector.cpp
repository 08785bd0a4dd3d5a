#include "bluebellkeel/Policy/ConfidenceModelSelector.h"
#include <algorithm>

using namespace bluebellkeel;

/// Confidence (0 to 100) below which the largest model runs the request when
/// the service is idle, its decrease at full occupancy, and its minimum.
static constexpr double IdleThreshold = 45;
static constexpr double ThresholdFall = 100;
static constexpr double LowestThreshold = 20;

std::size_t
confidence_model_selector::first(const model_query & /*Query*/) const {
  return 0;
}

std::size_t confidence_model_selector::next(const model_query &Query,
                                            std::size_t Current,
                                            double Confidence) const {
  std::size_t Largest = Query.models().size() - 1;
  if (Current >= Largest)
    return Current;
  double Threshold = std::max(
      LowestThreshold, IdleThreshold - ThresholdFall * Query.occupancy());
  return Confidence < Threshold ? Largest : Current;
}
