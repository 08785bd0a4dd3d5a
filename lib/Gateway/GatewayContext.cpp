#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Relay/ForwardAdmission.h"

using namespace bluebellkeel;

/// One sender per two requests per second keeps the requests to a cold upstream
/// within one and a half times its rate in any second.
static constexpr double ColdSendersPerRate = 0.5;

/// With one sender per request per second, each of which may be a second ahead,
/// an upstream gets at most one and a half times the limit that it names in any
/// four seconds, the shortest time in which it judges its load.
static constexpr double LimitSendersPerRate = 1;
static constexpr milliseconds LimitAdvance{1000};

static roll_out_limits rollOutLimitsOf(const reloadable_settings &Reloadable) {
  return roll_out_limits(Reloadable.TrialShare);
}

static retry_rules retryRulesOf(const reloadable_settings &Reloadable) {
  return {Reloadable.RetryRatio, Reloadable.RetrySlack, Reloadable.RetryWindow};
}

static std::unique_ptr<usage_counter>
usageCounterFor(const gateway_settings &Settings, const time_source &Clock) {
  if (!Settings.Duties)
    return nullptr;
  const duty_settings &Duties = *Settings.Duties;
  return std::make_unique<usage_counter>(
      duty_times(Duties.Lease, Duties.UsageWindow, Duties.UsageDelay), Clock);
}

gateway_context::gateway_context(const gateway_settings &Settings)
    : Settings(Settings), Reloadable(Settings.Reloadable),
      Shares(Settings.Memory),
      Memory(std::make_shared<memory_budget>(Shares.callers())),
      Log(Settings.Instance.text(), Clock),
      State(SettingsAge, Reloadable, Clock), Registry(Clock),
      Updater(Registry, Clock), Loads(Clock), Notices(Clock),
      Occupancy(Registry, Loads, Notices, Clock),
      Cold(Settings.Instance, ColdSendersPerRate, milliseconds(0), Clock),
      Limits(Settings.Instance, LimitSendersPerRate, LimitAdvance, Clock),
      Centres(Clock), Instances(Clock),
      RollOuts(rollOutLimitsOf(Settings.Reloadable), Clock), Prefixes(Clock),
      WorkMix(Clock), Crashes(Clock, forward_admission::CrashLimit),
      PartCrashes(Clock), BlockTrials(Settings.Instance, Clock),
      Retries(retryRulesOf(Settings.Reloadable), Clock), Returns(Clock),
      HeavyLoad(Clock), Usage(usageCounterFor(Settings, Clock)) {}

void gateway_context::reconfigure(const reloadable_settings &Newer) {
  Reloadable.set(Newer);
  RollOuts.reconfigure(rollOutLimitsOf(Newer));
  Retries.reconfigure(retryRulesOf(Newer));
}

forward_dependencies gateway_context::forwardDependencies() {
  usage_listener *Listener = &NoUsage;
  if (Usage)
    Listener = Usage.get();
  return forward_dependencies{Settings.Instance,
                              Settings.DataCentre,
                              Clock,
                              State,
                              Tables,
                              Registry,
                              Loads,
                              Occupancy,
                              Cold,
                              Limits,
                              Notices,
                              Centres,
                              Instances,
                              RollOuts,
                              Prefixes,
                              WorkMix,
                              ReadingSpeeds,
                              FirstTokens,
                              Crashes,
                              PartCrashes,
                              BlockTrials,
                              Retries,
                              Returns,
                              Placement,
                              ModelSelector,
                              Metrics,
                              Log,
                              HeavyLoad,
                              *Memory,
                              *Listener};
}

instance_record gateway_context::self() const {
  bool Serving = State.phase() == serving_phase::Serving;
  return instance_record(Settings.Instance, Settings.DataCentre,
                         Settings.CallerAddress, Settings.PeerAddress,
                         Serving ? instance_state::Live
                                 : instance_state::Leaving);
}
