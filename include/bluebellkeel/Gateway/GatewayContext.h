#ifndef BLUEBELLKEEL_GATEWAY_GATEWAYCONTEXT_H
#define BLUEBELLKEEL_GATEWAY_GATEWAYCONTEXT_H

#include "bluebellkeel/Core.h"
#include "bluebellkeel/Duty.h"
#include "bluebellkeel/Gateway/GatewayState.h"
#include "bluebellkeel/Gateway/HeavyLoadNotifier.h"
#include "bluebellkeel/Gateway/ListenerShares.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Policy.h"
#include "bluebellkeel/Relay/ForwardDependencies.h"
#include "bluebellkeel/Routing.h"
#include "bluebellkeel/Startup/GatewaySettings.h"
#include "bluebellkeel/Telemetry/EventWriter.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include "bluebellkeel/Upstream.h"

namespace bluebellkeel {

/// The state of a gateway. Members are declared in dependency order. Only the
/// event writer has a thread of its own; gateway_runtime runs the background
/// loops.
struct gateway_context {
  explicit gateway_context(const gateway_settings &Settings);

  /// Applies the reloadable settings of a reread settings file.
  void reconfigure(const reloadable_settings &Newer);
  /// Returns references to the members that request forwarding uses.
  forward_dependencies forwardDependencies();
  /// Returns the record of this instance for its peers; its state is Live only
  /// while the instance is serving.
  instance_record self() const;

  /// The settings at startup; \c Reloadable has the newest values of the
  /// reloadable ones.
  const gateway_settings Settings;
  guarded_value<reloadable_settings> Reloadable;
  system_clock Clock;
  system_random Random;
  /// Shared with the servers.
  const listener_shares Shares;
  /// What callers' connections and requests may hold.
  const std::shared_ptr<memory_budget> Memory;
  event_writer Log;
  metrics Metrics;
  log_freshness SettingsAge;
  log_freshness UpstreamsAge;
  gateway_state State;
  route_table_holder Tables;
  upstream_registry Registry;
  registry_updater Updater;
  load_tracker Loads;
  notice_tracker Notices;
  occupancy_estimator Occupancy;
  shared_rate_limiter Cold;
  shared_rate_limiter Limits;
  closed_data_centres Centres;
  live_instances Instances;
  roll_out_tracker RollOuts;
  prefix_tracker Prefixes;
  work_mix_tracker WorkMix;
  reading_speed_tracker ReadingSpeeds;
  queued_work_estimator FirstTokens{ReadingSpeeds};
  crash_tracker Crashes;
  part_crash_tracker PartCrashes;
  block_trials BlockTrials;
  retry_window Retries;
  return_schedule Returns;
  cheapest_placement UnreportedPlacement;
  expected_wait_placement Placement{FirstTokens, UnreportedPlacement};
  confidence_model_selector ModelSelector;
  heavy_load_notifier HeavyLoad;
  /// Null in a deployment that reports no usage.
  const std::unique_ptr<usage_counter> Usage;
  no_usage_listener NoUsage;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_GATEWAYCONTEXT_H
