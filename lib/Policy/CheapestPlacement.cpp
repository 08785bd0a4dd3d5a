#include "bluebellkeel/Policy/CheapestPlacement.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <cmath>
#include <set>

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

/// A large model's prompt holds up the tokens of all requests beside it, so a
/// part of the upstreams is left to the small models as long as the others have
/// room; docs/MEASURES.md has the runs.
static constexpr double LightPart = 0.25;
/// With fewer upstreams there is nothing to divide.
static constexpr std::size_t FewestForLanes = 4;
/// Models that take this many times the smallest one's time count as large.
static constexpr double HeavyPace = 3;
/// What leaving the lane costs, in weighted tokens.
static constexpr double LightInHeavyLane = 3000;
static constexpr double HeavyInLightLane = 60000;

/// The ids of the upstreams in the light lane.
static std::set<upstream_id>
lightLane(const std::vector<placement_candidate> &Candidates) {
  std::vector<std::pair<std::uint64_t, upstream_id>> Ranked;
  Ranked.reserve(Candidates.size());
  for (const auto &Candidate : Candidates)
    Ranked.emplace_back(stableHash(Candidate.listing().id().text()),
                        Candidate.listing().id());
  std::sort(Ranked.begin(), Ranked.end());
  auto Count = static_cast<std::size_t>(
      std::lround(LightPart * static_cast<double>(Ranked.size())));
  std::set<upstream_id> Lane;
  for (std::size_t I = 0; I < Count; ++I)
    Lane.insert(Ranked[I].second);
  return Lane;
}

namespace {

/// The lanes for one request, empty where upstreams are not divided.
class lanes {
public:
  lanes(const std::vector<placement_candidate> &Candidates,
        const prompt &Prompt)
      : Divided(Prompt.tokensIn() > 0 && Candidates.size() >= FewestForLanes) {
    if (Divided)
      Light = lightLane(Candidates);
  }

  double costOf(const placement_candidate &Candidate, double Pace) const {
    if (!Divided)
      return 0;
    bool InLight = Light.count(Candidate.listing().id()) > 0;
    if (Pace >= HeavyPace)
      return InLight ? HeavyInLightLane : 0;
    return InLight ? 0 : LightInHeavyLane;
  }

private:
  bool Divided;
  std::set<upstream_id> Light;
};

} // namespace

/// Requests with the same shared part meet at one upstream on all instances,
/// before any of them knows who has read it.
static const placement_candidate *
homeOf(const std::vector<placement_candidate> &Candidates,
       const prompt_part &Shared) {
  const placement_candidate *Home = nullptr;
  std::uint64_t Highest = 0;
  for (const auto &Candidate : Candidates) {
    std::uint64_t Weight =
        rendezvousWeight(Shared.id(), Candidate.listing().id().text());
    if (Home && Weight <= Highest)
      continue;
    Home = &Candidate;
    Highest = Weight;
  }
  return Home;
}

std::vector<placement_candidate>
cheapest_placement::order(std::vector<placement_candidate> Candidates,
                          const prompt &Prompt, double Pace) const {
  const prompt_part *Shared = sharedPart(Prompt);
  const placement_candidate *Home =
      Shared ? homeOf(Candidates, *Shared) : nullptr;
  lanes Lanes(Candidates, Prompt);
  std::vector<std::pair<double, const placement_candidate *>> Priced;
  Priced.reserve(Candidates.size());
  for (const auto &Candidate : Candidates) {
    double Cost =
        costOf(Candidate, Prompt, Pace) + Lanes.costOf(Candidate, Pace);
    if (&Candidate == Home && Candidate.cachedTokens() == 0)
      Cost -= HomePreference * Pace * static_cast<double>(Shared->tokens());
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
