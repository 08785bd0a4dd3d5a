#ifndef BLUEBELLKEEL_RELAY_FORWARDDEPENDENCIES_H
#define BLUEBELLKEEL_RELAY_FORWARDDEPENDENCIES_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/MemoryBudget.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Duty/UsageListener.h"
#include "bluebellkeel/Membership/ClosedDataCentres.h"
#include "bluebellkeel/Membership/LiveInstances.h"
#include "bluebellkeel/Policy/BlockTrials.h"
#include "bluebellkeel/Policy/CrashTracker.h"
#include "bluebellkeel/Policy/FirstTokenEstimator.h"
#include "bluebellkeel/Policy/ModelSelector.h"
#include "bluebellkeel/Policy/PartCrashTracker.h"
#include "bluebellkeel/Policy/PlacementPolicy.h"
#include "bluebellkeel/Policy/PrefixTracker.h"
#include "bluebellkeel/Policy/ReadingSpeedTracker.h"
#include "bluebellkeel/Policy/RetryWindow.h"
#include "bluebellkeel/Policy/ReturnSchedule.h"
#include "bluebellkeel/Policy/RollOutTracker.h"
#include "bluebellkeel/Policy/WorkMixTracker.h"
#include "bluebellkeel/Relay/LoadListener.h"
#include "bluebellkeel/Relay/RelayMonitor.h"
#include "bluebellkeel/Relay/ServingStatus.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"
#include "bluebellkeel/Upstream/LoadTracker.h"
#include "bluebellkeel/Upstream/NoticeTracker.h"
#include "bluebellkeel/Upstream/OccupancyEstimator.h"
#include "bluebellkeel/Upstream/SharedRateLimiter.h"
#include "bluebellkeel/Upstream/UpstreamRegistry.h"

namespace bluebellkeel {

/// Dependencies of a forward_relay; no call to them blocks.
struct forward_dependencies {
  instance_id Self;
  data_centre_id LocalCentre;
  const time_source &Clock;
  const serving_status &ServingStatus;
  const route_table_holder &Tables;
  upstream_registry &Registry;
  load_tracker &Loads;
  occupancy_estimator &Occupancy;
  shared_rate_limiter &Cold;
  shared_rate_limiter &Limits;
  notice_tracker &Notices;
  closed_data_centres &Centres;
  live_instances &Instances;
  roll_out_tracker &RollOuts;
  prefix_tracker &Prefixes;
  work_mix_tracker &WorkMix;
  reading_speed_tracker &ReadingSpeeds;
  const first_token_estimator &FirstTokens;
  crash_tracker &Crashes;
  part_crash_tracker &PartCrashes;
  block_trials &BlockTrials;
  retry_window &Retries;
  return_schedule &Returns;
  const placement_policy &Placement;
  const model_selector &ModelSelector;
  relay_monitor &Monitor;
  event_log &Log;
  load_listener &HeavyLoad;
  memory_budget &Memory;
  usage_listener &Usage;

  /// Returns all instances that may send to upstreams, including this one.
  std::vector<instance_id> senders() const {
    std::vector<instance_id> Ids = Instances.senders();
    Ids.push_back(Self);
    return Ids;
  }
  /// Returns all instances that share the rate limits of upstreams, including
  /// this one.
  sender_group rateSharers() const {
    return Instances.rateSharers().with(Self);
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDDEPENDENCIES_H
