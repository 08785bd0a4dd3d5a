#ifndef BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEPARTS_H
#define BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEPARTS_H

#include "GrantRound.h"
#include "HeartbeatRound.h"
#include "LoadRound.h"
#include "MetricsAdapters.h"
#include "OwnerBook.h"
#include "OwnershipRound.h"
#include "PeerBillReplicator.h"
#include "PeerCrashReporter.h"
#include "PeerDesk.h"
#include "RatingQueue.h"
#include "RoomSignal.h"
#include "RuntimeFacts.h"
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

/// All state of an instance, in the order in which one part needs another.
/// None of it runs by itself; the runtime's threads drive it.
struct runtime_parts {
  explicit runtime_parts(const startup_settings &Settings);

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
  owner_book Owners;

  quality_tracker Quality;
  crash_tracker Crashes;
  health_tracker Health;
  retry_budget Retries;
  admission_queue Admission;
  room_signal Room;
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
  peer_desk Desk;

  heartbeat_round Heartbeats;
  ownership_round Ownership;
  grant_round GrantAsks;
  load_round Loads;
  runtime_facts Facts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_RUNTIMEPARTS_H
