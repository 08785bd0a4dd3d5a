#ifndef BLUEBELLKEEL_LIB_RUNTIME_RUNTIMECONTEXT_H
#define BLUEBELLKEEL_LIB_RUNTIME_RUNTIMECONTEXT_H

#include "CapacityNotifier.h"
#include "GrantRequester.h"
#include "HeartbeatPoller.h"
#include "LoadPoller.h"
#include "MetricsAdapters.h"
#include "OwnershipResolver.h"
#include "OwnershipUpdater.h"
#include "PeerBillReplicator.h"
#include "PeerCrashReporter.h"
#include "RatingQueue.h"
#include "RuntimeInstanceStatus.h"
#include "RuntimePeerResponder.h"
#include "ServingState.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Journal.h"
#include "bluebellkeel/Peer/WebsocketPeerLink.h"
#include "bluebellkeel/Platform.h"
#include "bluebellkeel/Policy.h"
#include "bluebellkeel/Relay.h"
#include "bluebellkeel/Settings.h"
#include "bluebellkeel/Startup/StartupSettings.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include "bluebellkeel/Upstream.h"

namespace bluebellkeel {

/// All components of an instance, declared after the components that they
/// depend on. The instance runtime starts and drives them.
struct runtime_context {
  explicit runtime_context(const startup_settings &Settings);

  const startup_settings Startup;
  system_clock Clock;
  system_random Random;
  const std::uint64_t Incarnation;
  hmac_signer CallerSigner;
  hmac_signer PeerSigner;
  metrics Metrics;
  metrics_adapters Adapters;
  freshness_evaluator Evaluator;

  http_log<settings_record> SettingsLog;
  http_log<claim_entry> ClaimLog;
  http_log<bill> BillLog;
  platform_list_reader ListReader;

  settings_store Settings;
  settings_follower Follower;
  settings_publisher Publisher;
  instance_directory Instances;
  upstream_directory Upstreams;
  peer_table Peers;
  serving_state Serving;
  ownership_resolver Owners;

  quality_tracker Quality;
  crash_tracker Crashes;
  health_tracker Health;
  retry_budget Retries;
  admission_queue Admission;
  capacity_notifier CapacityNotifier;
  grant_holder Grants;
  grant_issuer Issuer;
  ticket_issuer Tickets;
  session_codec Sessions;
  cheapest_at_target_planner Planner;
  affinity_chooser Chooser;
  candidate_finder Candidates;
  rating_queue Ratings;

  websocket_peer_link Link;
  peer_bill_replicator Replicator;
  bill_writer Bills;
  claim_coordinator Claims;
  peer_crash_reporter CrashReporter;
  runtime_peer_responder PeerResponder;

  heartbeat_poller HeartbeatPoller;
  ownership_updater Ownership;
  grant_requester GrantRequester;
  load_poller LoadPoller;
  runtime_instance_status InstanceStatus;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_RUNTIMECONTEXT_H
