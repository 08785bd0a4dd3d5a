#ifndef UNITTESTS_SUPPORT_FORWARDFIXTURE_H
#define UNITTESTS_SUPPORT_FORWARDFIXTURE_H

#include "Support/ListingOf.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include "bluebellkeel/Relay.h"
#include <deque>
#include <functional>
#include <gtest/gtest.h>

namespace bluebellkeel {

/// Scripted behaviour of a fake upstream for one attempt.
struct upstream_script {
  /// Returned by open() instead of a response.
  std::optional<attempt_error> OpenError;
  int Status = 200;
  bool Verified = true;
  bool NotRun = false;
  bool FromOtherUpstream = false;
  bool DelimitedByClose = false;
  std::optional<std::size_t> BodyBytes;
  std::optional<double> Confidence;
  upstream_notice::fields Notice;
  std::vector<std::string> Pieces = {"whole"};
  /// Index of the piece before which one read() fails with Silent.
  std::optional<std::size_t> SilentBefore;
  /// Returned by read() after the pieces instead of the end of the body.
  std::optional<attempt_error> ReadError;
  /// Called before open() returns.
  std::function<void()> Before;
  /// Called before each read() returns.
  std::function<void()> BeforeRead;
};

/// A response that follows a script.
class scripted_response final : public upstream_response {
public:
  scripted_response(const upstream_script &Script, int &Open)
      : Script(Script), Open(Open) {
    response_head::fields Fields;
    Fields.Status = Script.Status;
    Fields.Verified = Script.Verified;
    Fields.NotRun = Script.NotRun;
    Fields.FromOtherUpstream = Script.FromOtherUpstream;
    Fields.DelimitedByClose = Script.DelimitedByClose;
    Fields.BodyBytes = Script.BodyBytes;
    Fields.Confidence = Script.Confidence;
    Fields.Notice = upstream_notice(Script.Notice);
    Head = response_head(Fields);
    ++Open;
  }
  ~scripted_response() override { --Open; }

  const response_head &head() const override { return Head; }
  tl::expected<std::string, attempt_error> read() override {
    if (Script.BeforeRead)
      Script.BeforeRead();
    if (Script.SilentBefore == Next) {
      Script.SilentBefore = std::nullopt;
      return tl::unexpected(attempt_error::Silent);
    }
    if (Next < Script.Pieces.size())
      return Script.Pieces[Next++];
    if (Script.ReadError)
      return tl::unexpected(*Script.ReadError);
    return std::string();
  }

private:
  upstream_script Script;
  int &Open;
  response_head Head;
  std::size_t Next = 0;
};

/// Upstreams whose attempts follow Scripts in order; without a script, an
/// attempt follows the upstream's entry in Defaults, or succeeds.
class scripted_upstreams final : public forward_upstream {
public:
  tl::expected<std::unique_ptr<upstream_response>, attempt_error>
  open(const forward_attempt &Attempt, const time_limit & /*Limit*/) override {
    // Only one response may be open at a time; the previous one must have been
    // cancelled.
    EXPECT_EQ(0, Open);
    Attempts.push_back(Attempt);
    upstream_script Script;
    auto Default = Defaults.find(Attempt.upstream().id());
    if (!Scripts.empty()) {
      Script = Scripts.front();
      Scripts.pop_front();
    } else if (Default != Defaults.end()) {
      Script = Default->second;
    }
    if (Script.Before)
      Script.Before();
    if (Script.OpenError)
      return tl::unexpected(*Script.OpenError);
    return std::make_unique<scripted_response>(Script, Open);
  }

  std::deque<upstream_script> Scripts;
  std::map<upstream_id, upstream_script> Defaults;
  std::vector<forward_attempt> Attempts;
  int Open = 0;
};

/// A caller that records the response.
class recording_caller final : public forward_caller {
public:
  bool respond(const response_head &Head, std::string ResponseBody) override {
    Status = Head.status();
    Body = std::move(ResponseBody);
    Ended = true;
    return !Gone;
  }
  bool begin(const response_head &Head) override {
    Status = Head.status();
    return !Gone;
  }
  bool write(std::string_view Piece) override {
    Body += std::string(Piece);
    return !Gone;
  }
  bool end() override {
    Ended = true;
    return !Gone;
  }
  void abandon() override { Abandoned = true; }
  bool refuse(refusal_reason NewReason, int Code,
              milliseconds NewRetryAfter) override {
    Reason = NewReason;
    Status = Code;
    RetryAfter = NewRetryAfter;
    Ended = true;
    return !Gone;
  }
  bool gone() const override { return Gone; }

  int Status = 0;
  std::string Body;
  std::optional<refusal_reason> Reason;
  milliseconds RetryAfter{0};
  bool Ended = false;
  bool Abandoned = false;
  bool Gone = false;
};

/// A serving status that tests set.
class settable_serving_status final : public serving_status {
public:
  serving_phase phase() const override { return Phase; }
  std::optional<monotonic_time> stopsAt() const override { return StopsAt; }
  milliseconds settingsAge() const override { return Age; }
  bool settingsStale() const override { return Age > MaxAge; }

  serving_phase Phase = serving_phase::Serving;
  std::optional<monotonic_time> StopsAt;
  milliseconds Age{0};
  milliseconds MaxAge{2000};
};

/// Keeps the log lines in memory.
class recording_log final : public event_log {
public:
  void write(const event_line &Line) override { Lines.push_back(Line.text()); }
  std::vector<std::string> Lines;
};

class counting_listener final : public load_listener {
public:
  void onHeavyPrefill() override { ++Count; }
  int Count = 0;
};

class noop_monitor final : public relay_monitor {
public:
  void countRefusal(refusal_reason /*Reason*/) override {}
  void countRetry(attempt_error /*Reason*/) override {}
  void countAttemptError(attempt_error /*Error*/) override {}
  void countAnswer(const version_id & /*Version*/, bool /*Met*/) override {}
  void countServiceCall() override {}
};

/// Dependencies of a forward_relay, with three upstreams and a route of each
/// kind.
class forward_fixture : public testing::Test {
protected:
  explicit forward_fixture(const std::string &Self = "self") : Self(Self) {
    Instances.noteRegistrationsRead();
    for (const char *Id : {"u1", "u2", "u3"})
      Registry.insertIfNewer(upstream_listing(listingOf(Id)));
    configure(1);
  }

  static forward_route::fields routeOf(const std::string &Prefix,
                                       route_kind Kind, unsigned Attempts) {
    forward_route::fields Route;
    Route.Name = Prefix;
    Route.Host = "a.example";
    Route.PathPrefix = Prefix;
    Route.Kind = Kind;
    Route.Services = {{service_id("engines"), 1}};
    Route.Timeout = milliseconds(20000);
    Route.Objective = milliseconds(1000);
    Route.GapObjective = milliseconds(1000);
    Route.Attempts = Attempts;
    return Route;
  }

  std::vector<forward_route> routes() const {
    auto Stream = routeOf("/stream/", route_kind::Stream, 3);
    Stream.Resumable = true;
    auto Sized = routeOf("/sized/", route_kind::Stream, 3);
    Sized.Resumable = true;
    Sized.Sizes = {"small", "large"};
    return {forward_route(routeOf("/once/", route_kind::AtMostOnce, 1)),
            forward_route(routeOf("/again/", route_kind::Idempotent, 2)),
            forward_route(routeOf("/fixed/", route_kind::Stream, 3)),
            forward_route(Stream), forward_route(Sized)};
  }

  void configure(std::uint64_t Version) { configure(Version, routes()); }
  void configure(std::uint64_t Version, std::vector<forward_route> Routes) {
    configure(Version, std::move(Routes),
              api_key_policy::onlyAccounts({api_key_account(
                  account_id("mill"), {"key"}, std::nullopt)}));
  }
  void configure(std::uint64_t Version, std::vector<forward_route> Routes,
                 api_key_policy ApiKeys) {
    service_config::fields ServiceConfig;
    ServiceConfig.Service = service_id("engines");
    ServiceConfig.ColdRate = 14;
    ServiceConfig.Models = {{"small", 0.1}, {"large", 1.0}};
    Tables.replaceIfNewer(route_table(Version, std::move(Routes),
                                      {service_config(ServiceConfig)},
                                      std::move(ApiKeys)));
  }

  forward_call::fields callOf(const std::string &Path) {
    forward_call::fields Call;
    Call.Id = request_id("r" + std::to_string(++LastId));
    Call.Method = "POST";
    Call.Target = Path;
    Call.Host = "a.example";
    Call.Path = Path;
    Call.Key = "key";
    Call.Deadline = milliseconds(20000);
    Call.Body = "body";
    Call.Arrived = Clock.monotonicNow();
    return Call;
  }

  recording_caller run(const forward_call::fields &Call) {
    recording_caller Caller;
    runFor(Call, Caller);
    return Caller;
  }
  recording_caller run(const std::string &Path) { return run(callOf(Path)); }
  void runFor(const forward_call::fields &Call, recording_caller &Caller) {
    forward_relay(Deps, Upstreams, Caller,
                  std::make_shared<const forward_call>(Call))
        .run();
    EXPECT_TRUE(Caller.Ended || Caller.Abandoned || Caller.Gone);
  }
  void script(std::vector<upstream_script> Scripts) {
    Upstreams.Scripts.assign(Scripts.begin(), Scripts.end());
  }
  static upstream_script failing(attempt_error Error) {
    upstream_script Script;
    Script.OpenError = Error;
    return Script;
  }
  static std::string event(int Number) {
    return "id: " + std::to_string(Number) + "\ndata: x\n\n";
  }

  const instance_id Self;
  manual_clock Clock;
  settable_serving_status ServingStatus;
  route_table_holder Tables;
  upstream_registry Registry{Clock};
  load_tracker Loads{Clock};
  notice_tracker Notices{Clock};
  occupancy_estimator Occupancy{Registry, Loads, Notices, Clock};
  shared_rate_limiter Cold{Self, 0.5, milliseconds(0), Clock};
  shared_rate_limiter Limits{Self, 1, milliseconds(1000), Clock};
  closed_data_centres Centres{Clock};
  live_instances Instances{Clock};
  roll_out_tracker RollOuts{roll_out_limits(0.15), Clock};
  prefix_tracker Prefixes{Clock};
  work_mix_tracker WorkMix{Clock};
  reading_speed_tracker ReadingSpeeds;
  queued_work_estimator FirstTokens{ReadingSpeeds};
  crash_tracker Crashes{Clock, forward_admission::CrashLimit};
  part_crash_tracker PartCrashes{Clock};
  block_trials BlockTrials{Self, Clock};
  retry_window Retries{retry_rules(0.9, 56, milliseconds(10000)), Clock};
  return_schedule Returns{Clock};
  cheapest_placement UnreportedPlacement;
  expected_wait_placement Placement{FirstTokens, UnreportedPlacement};
  confidence_model_selector ModelSelector;
  noop_monitor Monitor;
  recording_log Log;
  counting_listener HeavyLoad;
  no_usage_listener Usage;
  memory_budget Memory{1024UL * 1024};
  forward_dependencies Deps{Self,          data_centre_id("north"),
                            Clock,         ServingStatus,
                            Tables,        Registry,
                            Loads,         Occupancy,
                            Cold,          Limits,
                            Notices,       Centres,
                            Instances,     RollOuts,
                            Prefixes,      WorkMix,
                            ReadingSpeeds, FirstTokens,
                            Crashes,       PartCrashes,
                            BlockTrials,   Retries,
                            Returns,       Placement,
                            ModelSelector, Monitor,
                            Log,           HeavyLoad,
                            Memory,        Usage};
  scripted_upstreams Upstreams;
  int LastId = 0;
};

} // namespace bluebellkeel

#endif // UNITTESTS_SUPPORT_FORWARDFIXTURE_H
