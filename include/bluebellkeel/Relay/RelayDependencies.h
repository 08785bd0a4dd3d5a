#ifndef BLUEBELLKEEL_RELAY_RELAYDEPENDENCIES_H
#define BLUEBELLKEEL_RELAY_RELAYDEPENDENCIES_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/BillGateway.h"
#include "bluebellkeel/Journal/ClaimGateway.h"
#include "bluebellkeel/Journal/TicketIssuer.h"
#include "bluebellkeel/Policy/CrashTracker.h"
#include "bluebellkeel/Policy/UpstreamChooser.h"
#include "bluebellkeel/Policy/VersionPlanner.h"
#include "bluebellkeel/Relay/CandidateFinder.h"
#include "bluebellkeel/Relay/ChatUpstream.h"
#include "bluebellkeel/Relay/CrashReporter.h"
#include "bluebellkeel/Relay/RelayMonitor.h"
#include "bluebellkeel/Relay/RetryBudget.h"
#include "bluebellkeel/Relay/ServiceUpstream.h"
#include "bluebellkeel/Relay/ServingGate.h"
#include "bluebellkeel/Relay/SlotGateway.h"
#include "bluebellkeel/Settings/SettingsStore.h"

namespace bluebellkeel {

/// Dependencies of chat_relay and service_relay. Calls to the gateways and
/// upstreams may block; all other calls return at once.
struct relay_dependencies {
  const time_source &Clock;
  const settings_store &Settings;
  const serving_gate &Gate;
  version_planner &Planner;
  upstream_chooser &Chooser;
  const candidate_finder &Candidates;
  crash_tracker &Crashes;
  crash_reporter &CrashReports;
  health_tracker &Health;
  retry_budget &Retries;
  const ticket_issuer &Tickets;
  random_source &Random;
  relay_monitor &Monitor;
  slot_gateway &Slots;
  bill_gateway &Bills;
  claim_gateway &Claims;
  chat_upstream &Engines;
  service_upstream &Services;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RELAYDEPENDENCIES_H
