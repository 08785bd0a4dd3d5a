#include "bluebellkeel/Policy/CheapestPlacement.h"
#include <algorithm>

using namespace bluebellkeel;

/// What a running request costs a new one, in prompt tokens read meanwhile:
/// each step of the engine grows with the requests in it.
static constexpr double TokensPerRunning = 60;

/// A request in the queue waits for a whole slot.
static constexpr double TokensPerWaiting = 2000;

/// One recent failure weighs as much as this many tokens.
static constexpr double TokensPerSuspicion = 6000;

/// A cold upstream works slowly.
static constexpr double TokensForCold = 3000;

/// Crossing between data centres has a price and a delay.
static constexpr double TokensForOtherDataCentre = 40;

/// Part of a shared part's tokens by which its homes are preferred while
/// it is not known who has read it.
static constexpr double HomePreference = 0.5;

static double costOf(const placement_candidate &Candidate, const prompt &Prompt,
                     double RelativeTokenTime) {
  const upstream_load &Load = Candidate.load();
  std::uint64_t Cached = std::min(Candidate.cachedTokens(), Prompt.tokensIn());
  double Cost =
      Load.prefill() +
      RelativeTokenTime * static_cast<double>(Prompt.tokensIn() - Cached);
  double Slots = std::max<double>(1, Candidate.listing().slots());
  Cost += TokensPerRunning * Load.running();
  Cost += TokensPerWaiting *
          (Load.waiting() + std::max(0.0, Load.running() + 1 - Slots));
  Cost += TokensPerSuspicion * Load.suspicion();
  if (Candidate.cold())
    Cost += TokensForCold;
  if (!Candidate.sameDataCentre())
    Cost += TokensForOtherDataCentre;
  return Cost;
}

/// Models that take this many times the smallest one's time count as large.
static constexpr double MinLargeModelTokenTime = 3;
/// What leaving the lane costs, in weighted tokens.
static constexpr double SmallModelOnUnreserved = 3000;
static constexpr double LargeModelOnReserved = 60000;

/// What it costs to leave the part of the upstreams that is meant for the
/// model.
static double partitionCostOf(const placement_candidate &Candidate,
                              double RelativeTokenTime, bool Partitioned) {
  if (!Partitioned)
    return 0;
  if (RelativeTokenTime >= MinLargeModelTokenTime)
    return Candidate.reservedForSmallModels() ? LargeModelOnReserved : 0;
  return Candidate.reservedForSmallModels() ? 0 : SmallModelOnUnreserved;
}

/// Tokens of the part that several requests share; the last one is this
/// request's own.
static double sharedTokens(const prompt &Prompt) {
  const auto &Parts = Prompt.parts();
  return Parts.size() < 2
             ? 0
             : static_cast<double>(Parts[Parts.size() - 2].tokens());
}

std::vector<placement_candidate>
cheapest_placement::order(std::vector<placement_candidate> Candidates,
                          const prompt &Prompt,
                          double RelativeTokenTime) const {
  bool Partitioned = std::any_of(
      Candidates.begin(), Candidates.end(),
      [](const auto &Candidate) { return Candidate.reservedForSmallModels(); });
  std::vector<std::pair<double, const placement_candidate *>> Priced;
  Priced.reserve(Candidates.size());
  for (const auto &Candidate : Candidates) {
    double Cost = costOf(Candidate, Prompt, RelativeTokenTime) +
                  partitionCostOf(Candidate, RelativeTokenTime, Partitioned);
    if (Candidate.home() && Candidate.cachedTokens() == 0)
      Cost -= HomePreference * RelativeTokenTime * sharedTokens(Prompt);
    Priced.emplace_back(Cost, &Candidate);
  }
  std::stable_sort(
      Priced.begin(), Priced.end(),
      [](const auto &L, const auto &R) { return L.first < R.first; });
  std::vector<placement_candidate> Ordered;
  Ordered.reserve(Priced.size());
  for (const auto &[Cost, Candidate] : Priced)
    Ordered.push_back(*Candidate);
  return Ordered;
}
