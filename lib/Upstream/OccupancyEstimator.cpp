#include "bluebellkeel/Upstream/OccupancyEstimator.h"

using namespace bluebellkeel;

double occupancy_estimator::occupancyOf(const service_id &Service) {
  using estimate_map = std::map<service_id, estimate>;
  monotonic_time Now = Clock.monotonicNow();
  auto Kept = Estimates.withShard(
      Service.text(), [&](estimate_map &Shard) -> std::optional<double> {
        auto Known = Shard.find(Service);
        if (Known == Shard.end() || Now - Known->second.At >= EstimateLifetime)
          return std::nullopt;
        return Known->second.Occupancy;
      });
  if (Kept)
    return *Kept;
  double Occupancy = compute(Service);
  Estimates.withShard(Service.text(), [&](estimate_map &Shard) {
    Shard[Service] = {Occupancy, Now};
  });
  return Occupancy;
}

double occupancy_estimator::compute(const service_id &Service) {
  double Running = 0;
  double Slots = 0;
  for (const auto &Entry : Registry.serving(Service)) {
    Running += Loads.loadOf(Entry->listing().id()).running();
    Slots += Entry->listing().slots();
  }
  return Slots > 0 ? Running / Slots : 0;
}
