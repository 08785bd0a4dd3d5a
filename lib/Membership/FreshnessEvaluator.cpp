#include "bluebellkeel/Membership/FreshnessEvaluator.h"
#include <algorithm>

using namespace bluebellkeel;

static milliseconds ageAt(monotonic_time Now, monotonic_time Then) {
  return std::chrono::ceil<milliseconds>(Now - Then);
}

std::optional<milliseconds>
freshness_evaluator::logAge(monotonic_time Now, const settings_position &Own,
                            const std::vector<peer_status> &Peers) const {
  std::optional<milliseconds> LowestAge;
  if (Own.caughtUp())
    LowestAge = ageAt(Now, *Own.caughtUp());
  for (const auto &Peer : Peers) {
    const heartbeat &Answer = Peer.answer();
    if (!Answer.logAge() || Answer.settingsApplied() > Own.applied())
      continue;
    milliseconds Age = ageAt(Now, Peer.requestedAt()) + *Answer.logAge();
    LowestAge = LowestAge ? std::min(*LowestAge, Age) : Age;
  }
  return LowestAge;
}

serving_verdict
freshness_evaluator::evaluate(monotonic_time Now, const settings_position &Own,
                              const std::vector<peer_status> &Peers,
                              std::size_t AskedPeers) const {
  if (Own.applied() == log_offset())
    return serving_verdict::NoSettings;
  auto Age = logAge(Now, Own, Peers);
  if (Age && *Age <= Rules.maxLogAge())
    return serving_verdict::Fresh;
  std::size_t Answering = 0;
  for (const auto &Peer : Peers) {
    if (isSilent(Now, Peer))
      continue;
    if (Peer.answer().settingsApplied() > Own.applied())
      return serving_verdict::CutOff;
    ++Answering;
  }
  // The majority is counted among AskedPeers + 1 instances: the peers and this
  // one.
  bool Majority = 2 * (Answering + 1) > AskedPeers + 1;
  if (Majority || Rules.continueWhenCutOff())
    return serving_verdict::LogOutage;
  return serving_verdict::CutOff;
}
