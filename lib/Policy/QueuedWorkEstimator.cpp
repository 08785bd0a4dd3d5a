#include "bluebellkeel/Policy/QueuedWorkEstimator.h"
#include <algorithm>

using namespace bluebellkeel;

/// Milliseconds that a running request adds to an engine step.
static constexpr double MillisPerRunning = 0.3;

/// Milliseconds until a slot becomes free for each request before this one.
static constexpr double MillisPerWaiting = 10;

/// How long work takes at an upstream that has just started.
static constexpr double ColdFactor = 2;

first_token_estimate
queued_work_estimator::estimate(const placement_candidate &Candidate,
                                const prompt &Prompt,
                                double RelativeTokenTime) const {
  const upstream_load &Load = Candidate.load();
  double Speed = Speeds.speedOf(Candidate.listing().service());
  double Factor = Load.timeFactor().value_or(1);
  if (Candidate.cold())
    Factor = std::max(Factor, ColdFactor);
  double Slots = std::max<double>(1, Candidate.listing().slots());
  double BeyondSlots = std::max(0.0, Load.running() + 1 - Slots);
  double Queue = Load.prefill() / Speed + MillisPerRunning * Load.running() +
                 MillisPerWaiting * (Load.waiting() + BeyondSlots);
  std::uint64_t Cached = std::min(Candidate.cachedTokens(), Prompt.tokensIn());
  double Unread =
      RelativeTokenTime * static_cast<double>(Prompt.tokensIn() - Cached);
  return {Factor * Queue, Factor * Unread / Speed};
}
