#include "bluebellkeel/Gateway/GatewayParts.h"

using namespace bluebellkeel;

gateway_parts::gateway_parts(const gateway_settings &Settings)
    : Settings(Settings), Log(Settings.Instance.text(), Clock),
      State(SettingsAge, Clock), Roster(Clock), Keeper(Roster, Clock),
      Loads(Clock), Cold(Settings.Instance, Clock), Centres(Clock),
      Instances(Clock),
      RollOuts(roll_out_limits(Settings.TrialShare, Settings.SessionLife),
               Clock),
      Prefixes(Clock), Crashes(Clock),
      Retries(retry_rules(Settings.RetryRatio, Settings.RetrySlack,
                          Settings.RetryWindow),
              Clock),
      HeavyLoad(Clock) {}

forward_ports gateway_parts::ports() {
  return forward_ports{Settings.Instance,
                       Settings.DataCentre,
                       Clock,
                       State,
                       Tables,
                       Roster,
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
