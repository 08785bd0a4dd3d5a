#include "RuntimeContext.h"
#include "absl/strings/str_cat.h"

using namespace bluebellkeel;

/// Timeouts for requests to the platform's services.
static const http_timeouts PlatformTimeouts{seconds(1), seconds(2), seconds(2)};

/// Timeouts for reading load reports.
static const http_timeouts LoadTimeouts{milliseconds(300), milliseconds(500),
                                        milliseconds(500)};

static freshness_rules rulesFor(const startup_settings &Startup) {
  return freshness_rules(freshness_rules::DefaultMaxLogAge,
                         freshness_rules::DefaultMaxPeerAge,
                         Startup.ContinueWhenCutOff);
}

static std::optional<rater_client> raterFor(const startup_settings &Startup) {
  if (!Startup.Platform.rater())
    return std::nullopt;
  return rater_client(*Startup.Platform.rater(), PlatformTimeouts,
                      Startup.Instance);
}

/// The incarnation is part of the origin, since a restarted process counts its
/// ratings from zero.
static instance_id ratingOrigin(const startup_settings &Startup,
                                std::uint64_t Incarnation) {
  return instance_id(absl::StrCat(Startup.Instance.text(), "/", Incarnation));
}

runtime_context::runtime_context(const startup_settings &GivenStartup)
    : Startup(GivenStartup), Incarnation(Random.next()),
      CallerSigner(Startup.SigningKey), PeerSigner(Startup.PeerKey),
      Adapters(Metrics), Evaluator(rulesFor(Startup)),
      SettingsLog(Startup.Platform.log(), PlatformTimeouts, Adapters),
      ClaimLog(Startup.Platform.log(), PlatformTimeouts, Adapters),
      BillLog(Startup.Platform.log(), PlatformTimeouts, Adapters),
      ListReader(Startup.Platform.list(), PlatformTimeouts),
      Follower(SettingsLog, Settings, Clock), Publisher(SettingsLog),
      Instances(Startup.Instance),
      Serving(Startup.DataCentre, Clock, Settings, Follower, Instances, Peers,
              Evaluator),
      Owners(Startup.Instance, Clock, Instances, Peers, Evaluator),
      Quality(ratingOrigin(Startup, Incarnation)), Crashes(Clock),
      Health(Clock), CapacityNotifier(Admission),
      Grants(Startup.Instance, Clock, CapacityNotifier), Issuer(grant_rules()),
      Tickets(Clock, Random, CallerSigner, Startup.Limits.TicketLifetime),
      Sessions(CallerSigner), Planner(Quality, Random),
      Candidates(Upstreams, Grants, Health, Startup.DataCentre),
      Ratings(raterFor(Startup), Quality),
      Link(Startup.Instance, PeerSigner, Clock, Adapters),
      Replicator(Startup.DataCentre, Instances, Link),
      Bills(BillLog, Replicator, Clock, Startup.Limits.AppendInterval),
      Claims(ClaimLog, Clock, Startup.Limits.ClaimTimeout,
             Startup.Limits.AppendInterval),
      CrashReporter(Instances, Link),
      PeerResponder(Startup.Instance, Incarnation, Clock, Settings, Serving,
                    Issuer, Bills, Crashes, Quality),
      HeartbeatPoller(Clock, Instances, Peers, Quality, Link),
      Ownership(Clock, Owners, Upstreams, Issuer),
      GrantRequester(Startup.Instance, Clock, Owners, Grants, Issuer, Link),
      LoadPoller(Clock, Ownership, Issuer, load_reader(LoadTimeouts)),
      InstanceStatus(Startup.Instance, Clock, Random, Settings, Instances,
                     Peers, Serving, Owners, Issuer, Evaluator) {}
