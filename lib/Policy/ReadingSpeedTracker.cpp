#include "bluebellkeel/Policy/ReadingSpeedTracker.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

/// Weight of one measurement in the moving average.
static constexpr double Weight = 0.02;

/// A single measurement counts as at most this many times the estimate, or
/// this part of it: a request may have waited for others that nobody knew of.
static constexpr double MaxRatio = 2;

double reading_speed_tracker::speedOf(const service_id &Service) {
  double Change = Changes.withShard(Service.text(), [&](const auto &Shard) {
    auto Found = Shard.find(Service);
    return Found == Shard.end() ? 0.0 : Found->second;
  });
  return StartSpeed * std::exp(Change);
}

void reading_speed_tracker::noteFirstToken(const service_id &Service,
                                           const first_token_estimate &Expected,
                                           milliseconds Taken) {
  // Time in a queue depends on requests that may not be known.
  if (Expected.reading() < MinReading || Expected.queue() > Expected.reading())
    return;
  double Ratio =
      std::max(1.0, static_cast<double>(Taken.count())) / Expected.total();
  double Slower = std::log(std::clamp(Ratio, 1 / MaxRatio, MaxRatio));
  double Limit = std::log(MaxChange);
  Changes.withShard(Service.text(), [&](auto &Shard) {
    double &Change = Shard[Service];
    Change = std::clamp(Change - Weight * Slower, -Limit, Limit);
  });
}
