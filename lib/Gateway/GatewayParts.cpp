#include "bluebellkeel/Gateway/GatewayParts.h"

using namespace bluebellkeel;

static roll_out_limits trialsOf(const gateway_rules &Rules) {
  return {Rules.TrialShare, Rules.SessionLife};
}

static retry_rules repeatsOf(const gateway_rules &Rules) {
  return {Rules.RetryRatio, Rules.RetrySlack, Rules.RetryWindow};
}

gateway_parts::gateway_parts(const gateway_settings &Settings)
    : Settings(Settings), Rules(Settings.Rules),
      Log(Settings.Instance.text(), Clock), State(SettingsAge, Clock),
      Registry(Clock), Updater(Registry, Clock), Loads(Clock),
      Cold(Settings.Instance, Clock), Centres(Clock), Instances(Clock),
      RollOuts(trialsOf(Settings.Rules), Clock), Prefixes(Clock),
      Crashes(Clock), Retries(repeatsOf(Settings.Rules), Clock),
      HeavyLoad(Clock) {}

void gateway_parts::adopt(const gateway_rules &Newer) {
  Rules.set(Newer);
  RollOuts.adopt(trialsOf(Newer));
  Retries.adopt(repeatsOf(Newer));
}

forward_dependencies gateway_parts::ports() {
  return forward_dependencies{Settings.Instance,
                              Settings.DataCentre,
                              Clock,
                              State,
                              Tables,
                              Registry,
                              Loads,
                              Cold,
                              Centres,
                              Instances,
                              RollOuts,
                              Prefixes,
                              Crashes,
                              Retries,
                              Placement,
                              Sizes,
                              Metrics,
                              Log,
                              HeavyLoad};
}

instance_record gateway_parts::self() const {
  bool Serving = State.phase() == serving_phase::Serving;
  return instance_record(Settings.Instance, Settings.DataCentre,
                         Settings.CallerAddress, Settings.PeerAddress,
                         Serving ? instance_state::Live
                                 : instance_state::Leaving);
}
