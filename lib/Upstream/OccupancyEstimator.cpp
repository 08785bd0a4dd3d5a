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
  bool Limited = false;
  for (const auto &Entry : Registry.serving(Service)) {
    const upstream_listing &Upstream = Entry->listing();
    upstream_condition Condition =
        Notices.conditionOf(Upstream.incarnationKey());
    if (Condition.leaving())
      continue;
    if (Condition.rateLimit()) {
      Limited = true;
      continue;
    }
    Running += Loads.loadOf(Upstream.id()).running();
    Slots += Upstream.slots();
  }
  if (Slots > 0)
    return Running / Slots;
  return Limited ? 1 : 0;
}
