#include "bluebellkeel/Policy/CheapestPlacement.h"
#include <algorithm>

using namespace bluebellkeel;

/// Cost of a running request for a new one, in prompt tokens that the engine
/// could have read: each engine step takes longer with more requests in it.
static constexpr double TokensPerRunning = 60;

/// Cost of a queued request, or of one beyond the number of slots, in tokens:
/// it waits for a whole slot to become free.
static constexpr double TokensPerWaiting = 2000;

/// Cost of one recent failure, in tokens.
static constexpr double TokensPerSuspicion = 6000;

/// Cost of a cold upstream, in tokens; it runs slowly.
static constexpr double TokensForCold = 3000;

/// Cost of another data centre, in tokens: the transfer has a price and a
/// delay.
static constexpr double TokensForOtherDataCentre = 40;

/// Share of the shared part's tokens that is taken off the cost of a home
/// upstream while the part is not known to be cached there.
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

/// Models with at least this time per token, relative to the smallest model,
/// count as large.
static constexpr double MinLargeModelTokenTime = 3;
/// Additional costs, in weighted tokens, of a small model on an unreserved
/// upstream and of a large model on a reserved one.
static constexpr double SmallModelOnUnreserved = 3000;
static constexpr double LargeModelOnReserved = 60000;

/// Returns the additional cost of an upstream outside the part that is meant
/// for the model; 0 if no upstream is reserved.
static double partitionCostOf(const placement_candidate &Candidate,
                              double RelativeTokenTime, bool Partitioned) {
  if (!Partitioned)
    return 0;
  // A limit bounds the requests of small models anyway.
  if (Candidate.limited())
    return 0;
  if (RelativeTokenTime >= MinLargeModelTokenTime)
    return Candidate.reservedForSmallModels() ? LargeModelOnReserved : 0;
  return Candidate.reservedForSmallModels() ? 0 : SmallModelOnUnreserved;
}

/// Returns the tokens of the last part that several requests share; the final
/// part is this request's own.
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
