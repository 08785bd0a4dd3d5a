#ifndef BLUEBELLKEEL_FRONTEND_FRONTENDCONTEXT_H
#define BLUEBELLKEEL_FRONTEND_FRONTENDCONTEXT_H

#include "bluebellkeel/Frontend/GrantWaker.h"
#include "bluebellkeel/Frontend/InstanceStatus.h"
#include "bluebellkeel/Frontend/ResponseSampler.h"
#include "bluebellkeel/Journal.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Policy.h"
#include "bluebellkeel/Relay.h"
#include "bluebellkeel/Startup.h"
#include "bluebellkeel/Telemetry.h"
#include "bluebellkeel/Upstream.h"

namespace bluebellkeel {

/// The long-lived components of an instance that its front end uses.
struct frontend_context {
  const startup_settings &Startup;
  const time_source &Clock;
  random_source &Random;
  settings_store &Settings;
  settings_publisher &Publisher;
  const serving_gate &Gate;
  instance_status &InstanceStatus;
  instance_directory &Instances;
  peer_table &Peers;
  upstream_directory &Upstreams;
  grant_holder &Grants;
  grant_waker &Waker;
  admission_queue &Admission;
  health_tracker &Health;
  quality_tracker &Quality;
  crash_tracker &Crashes;
  crash_reporter &CrashReports;
  version_planner &Planner;
  upstream_chooser &Chooser;
  candidate_finder &Candidates;
  retry_budget &Retries;
  ticket_issuer &Tickets;
  session_codec &Sessions;
  claim_coordinator &Claims;
  bill_writer &Bills;
  record_log<bill> &BillLog;
  response_sampler &Sampler;
  metrics &Metrics;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_FRONTEND_FRONTENDCONTEXT_H
