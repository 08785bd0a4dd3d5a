#ifndef BLUEBELLKEEL_UPSTREAM_OCCUPANCYESTIMATOR_H
#define BLUEBELLKEEL_UPSTREAM_OCCUPANCYESTIMATOR_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/LoadTracker.h"
#include "bluebellkeel/Upstream/NoticeTracker.h"
#include "bluebellkeel/Upstream/UpstreamRegistry.h"
#include <map>

namespace bluebellkeel {

/// Estimates the share of a service's slots that are in use. An estimate takes
/// a walk over all upstreams of the service, so it is kept for a short time.
class occupancy_estimator {
public:
  /// Time for which an estimate is used again; less than the age of the loads
  /// that peers report.
  static constexpr milliseconds EstimateLifetime{100};

  occupancy_estimator(upstream_registry &Registry, load_tracker &Loads,
                      notice_tracker &Notices, const time_source &Clock)
      : Registry(Registry), Loads(Loads), Notices(Notices), Clock(Clock) {}

  /// Returns the fraction of the slots of \p Service in use, from 0 to 1; above
  /// 1 if more requests run than there are slots. 0 if no upstream has slots.
  /// The slots of upstreams that name a limit do not count, since the limit and
  /// not the slots bounds their load; 1 if there are no others.
  double occupancyOf(const service_id &Service);

private:
  struct estimate {
    double Occupancy = 0;
    monotonic_time At;
  };

  double compute(const service_id &Service);

  upstream_registry &Registry;
  load_tracker &Loads;
  notice_tracker &Notices;
  const time_source &Clock;
  sharded<std::map<service_id, estimate>> Estimates;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_OCCUPANCYESTIMATOR_H
