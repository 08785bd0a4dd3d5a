#include "bluebellkeel/Policy/CheapestPlacement.h"
#include "bluebellkeel/Core/StableHash.h"
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
static constexpr double TokensForCrossing = 40;

/// Part of a shared part's tokens by which its first home is preferred while
/// it is not known who has read it.
static constexpr double HomePreference = 0.5;

static double costOf(const placement_candidate &Candidate, const prompt &Prompt,
                     double Pace) {
  const upstream_load &Load = Candidate.load();
  std::uint64_t Cached = std::min(Candidate.cachedTokens(), Prompt.tokensIn());
  double Cost =
      Load.prefill() + Pace * static_cast<double>(Prompt.tokensIn() - Cached);
  double Slots = std::max<double>(1, Candidate.listing().slots());
  Cost += TokensPerRunning * Load.running();
  Cost += TokensPerWaiting *
          (Load.waiting() + std::max(0.0, Load.running() + 1 - Slots));
  Cost += TokensPerSuspicion * Load.suspicion();
  if (Candidate.cold())
    Cost += TokensForCold;
  if (!Candidate.sameCentre())
    Cost += TokensForCrossing;
  return Cost;
}

/// Parts that several requests share; the last one is this request's own.
static const prompt_part *sharedPart(const prompt &Prompt) {
  constexpr std::size_t OwnParts = 1;
  const auto &Parts = Prompt.parts();
  return Parts.size() > OwnParts ? &Parts[Parts.size() - OwnParts - 1]
                                 : nullptr;
}

std::vector<placement_candidate>
cheapest_placement::order(std::vector<placement_candidate> Candidates,
                          const prompt &Prompt, double Pace) const {
  const prompt_part *Shared = sharedPart(Prompt);
  std::uint64_t HighestWeight = 0;
  auto WeightOf = [&](const placement_candidate &Candidate) {
    return Shared
               ? rendezvousWeight(Shared->id(), Candidate.listing().id().text())
               : 0;
  };
  for (const auto &Candidate : Candidates)
    HighestWeight = std::max(HighestWeight, WeightOf(Candidate));
  std::vector<std::pair<double, placement_candidate>> Priced;
  for (auto &Candidate : Candidates) {
    double Cost = costOf(Candidate, Prompt, Pace);
    if (Shared && WeightOf(Candidate) == HighestWeight &&
        Candidate.cachedTokens() == 0)
      Cost -= HomePreference * Pace * static_cast<double>(Shared->tokens());
    Priced.emplace_back(Cost, std::move(Candidate));
  }
  std::stable_sort(
      Priced.begin(), Priced.end(),
      [](const auto &L, const auto &R) { return L.first < R.first; });
  std::vector<placement_candidate> Ordered;
  Ordered.reserve(Priced.size());
  for (auto &[Cost, Candidate] : Priced)
    Ordered.push_back(std::move(Candidate));
  return Ordered;
}
