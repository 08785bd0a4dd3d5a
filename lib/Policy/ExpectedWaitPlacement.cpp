#include "bluebellkeel/Policy/ExpectedWaitPlacement.h"
#include "bluebellkeel/Policy/WorkMixTracker.h"
#include <algorithm>

using namespace bluebellkeel;

/// Delay of all running requests together that weighs as much as one for this
/// request: streams have events in hand.
static constexpr double HarmPerRunning = 0.02;

/// Costs in milliseconds of one recent failure and of another data centre,
/// where the transfer takes time and has a price.
static constexpr double MillisPerSuspicion = 60;
static constexpr double MillisForOtherDataCentre = 20;

/// Share of the shared part's reading time that is taken off the cost of a home
/// upstream while the part is not known to be cached there.
static constexpr double HomePreference = 0.5;

/// Costs in milliseconds of a light read among heavy ones, where the next heavy
/// read may come before it, and of a heavy read among light ones. Beyond these
/// waits each kind goes to the other part.
static constexpr double LightAmongHeavy = 20;
static constexpr double HeavyAmongLight = 600;

/// Error of the estimate: a share of it and at least a few engine steps.
static constexpr double ErrorShare = 0.4;
static constexpr double MinError = 15;

static double unreadTokens(const placement_candidate &Candidate,
                           const prompt &Prompt, double RelativeTokenTime) {
  std::uint64_t Cached = std::min(Candidate.cachedTokens(), Prompt.tokensIn());
  return RelativeTokenTime * static_cast<double>(Prompt.tokensIn() - Cached);
}

/// Returns the cost of an upstream in the part of the other kind of reads.
static double otherPartCost(const placement_candidate &Candidate,
                            double Unread) {
  // A limit bounds the requests there anyway.
  if (Candidate.limited())
    return 0;
  if (work_mix_tracker::isHeavy(Unread))
    return Candidate.reservedForSmallModels() ? HeavyAmongLight : 0;
  return Candidate.reservedForSmallModels() ? 0 : LightAmongHeavy;
}

/// Returns the part of the reading time that the shared part takes.
static double sharedReading(const first_token_estimate &Estimate,
                            const prompt &Prompt) {
  const auto &Parts = Prompt.parts();
  if (Parts.size() < 2 || Prompt.tokensIn() == 0)
    return 0;
  return Estimate.reading() *
         static_cast<double>(Parts[Parts.size() - 2].tokens()) /
         static_cast<double>(Prompt.tokensIn());
}

double expected_wait_placement::costOf(const placement_candidate &Candidate,
                                       const prompt &Prompt,
                                       double RelativeTokenTime,
                                       bool Partitioned) const {
  first_token_estimate Estimate =
      Estimator.estimate(Candidate, Prompt, RelativeTokenTime);
  const upstream_load &Load = Candidate.load();
  double Cost = Estimate.total() +
                HarmPerRunning * Load.running() * Estimate.reading() +
                MillisPerSuspicion * Load.suspicion();
  if (!Candidate.sameDataCentre())
    Cost += MillisForOtherDataCentre;
  if (Partitioned)
    Cost += otherPartCost(Candidate,
                          unreadTokens(Candidate, Prompt, RelativeTokenTime));
  if (Candidate.home() && Candidate.cachedTokens() == 0)
    Cost -= HomePreference * sharedReading(Estimate, Prompt);
  return Cost;
}

std::vector<placement_candidate>
expected_wait_placement::order(std::vector<placement_candidate> Candidates,
                               const prompt &Prompt,
                               double RelativeTokenTime) const {
  if (std::none_of(Candidates.begin(), Candidates.end(),
                   [](const auto &Candidate) {
                     return Candidate.load().timeFactor().has_value();
                   }))
    return Unreported.order(std::move(Candidates), Prompt, RelativeTokenTime);
  bool Partitioned = std::any_of(
      Candidates.begin(), Candidates.end(),
      [](const auto &Candidate) { return Candidate.reservedForSmallModels(); });
  std::vector<std::pair<double, const placement_candidate *>> Priced;
  Priced.reserve(Candidates.size());
  for (const auto &Candidate : Candidates)
    Priced.emplace_back(
        costOf(Candidate, Prompt, RelativeTokenTime, Partitioned), &Candidate);
  double Best = std::min_element(Priced.begin(), Priced.end())->first;
  double Equal = Best + std::max(MinError, ErrorShare * Best);
  for (auto &[Cost, Candidate] : Priced)
    Cost = std::max(Cost, Equal);
  std::stable_sort(
      Priced.begin(), Priced.end(),
      [](const auto &L, const auto &R) { return L.first < R.first; });
  std::vector<placement_candidate> Ordered;
  Ordered.reserve(Priced.size());
  for (const auto &[Cost, Candidate] : Priced)
    Ordered.push_back(*Candidate);
  return Ordered;
}
