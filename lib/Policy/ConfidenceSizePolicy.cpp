#include "bluebellkeel/Policy/ConfidenceSizePolicy.h"
#include <algorithm>

using namespace bluebellkeel;

/// Confidence below which an answer is asked for again when the service is
/// idle, and how much that falls as its slots fill; docs/MEASURES.md has the
/// runs.
static constexpr double IdleThreshold = 45;
static constexpr double ThresholdFall = 100;
static constexpr double LowestThreshold = 20;

std::size_t
confidence_size_policy::first(const size_query & /*Question*/) const {
  return 0;
}

std::size_t confidence_size_policy::next(const size_query &Query,
                                         std::size_t Held,
                                         double Confidence) const {
  std::size_t Largest = Query.sizes().size() - 1;
  if (Held >= Largest)
    return Held;
  double Threshold = std::max(
      LowestThreshold, IdleThreshold - ThresholdFall * Query.occupancy());
  return Confidence < Threshold ? Largest : Held;
}
