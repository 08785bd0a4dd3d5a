#include "ServingState.h"

using namespace bluebellkeel;

serving_state::serving_state(data_centre_id LocalCentre,
                             const time_source &Clock,
                             const settings_store &Settings,
                             const settings_follower &Follower,
                             const instance_directory &Instances,
                             peer_table &Peers, freshness_evaluator Evaluator)
    : LocalCentre(std::move(LocalCentre)), Clock(Clock), Settings(Settings),
      Follower(Follower), Instances(Instances), Peers(Peers),
      Evaluator(Evaluator) {}

settings_position serving_state::settingsPosition() const {
  return settings_position(Settings.state()->applied(),
                           Follower.lastCaughtUp());
}

serving_verdict serving_state::verdict() const {
  std::size_t PolledPeers = Instances.peers()->size();
  return Evaluator.evaluate(Clock.monotonicNow(), settingsPosition(),
                            Peers.all(), PolledPeers);
}

std::optional<milliseconds> serving_state::settingsAge() const {
  return Evaluator.logAge(Clock.monotonicNow(), settingsPosition(),
                          Peers.all());
}

bool serving_state::localCentreOutOfServiceTooLong() const {
  bool OutOfService = Settings.routing()->isOutOfService(LocalCentre);
  monotonic_time Now = Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  if (!OutOfService) {
    LocalCentreOutOfServiceSince.reset();
    return false;
  }
  if (!LocalCentreOutOfServiceSince)
    LocalCentreOutOfServiceSince = Now;
  return Now - *LocalCentreOutOfServiceSince > RedirectDuration;
}

std::optional<refusal_reason> serving_state::refusalReason() const {
  if (Stage == serving_stage::Draining)
    return refusal_reason::Draining;
  serving_verdict Verdict = verdict();
  if (Verdict == serving_verdict::NoSettings)
    return refusal_reason::NotReady;
  if (!mayServe(Verdict))
    return refusal_reason::SettingsStale;
  if (localCentreOutOfServiceTooLong())
    return refusal_reason::DataCentreOut;
  return std::nullopt;
}

bool serving_state::serving() const {
  return Stage == serving_stage::Open && mayServe(verdict()) &&
         !Settings.routing()->isOutOfService(LocalCentre);
}
