#include "bluebellkeel/Policy/UpstreamPartition.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

/// Returns the last part that several requests share, or null; the final part
/// of a prompt is the request's own.
static const prompt_part *sharedPart(const prompt &Prompt) {
  constexpr std::size_t OwnParts = 1;
  const auto &Parts = Prompt.parts();
  return Parts.size() > OwnParts ? &Parts[Parts.size() - OwnParts - 1]
                                 : nullptr;
}

/// Returns the \p Count upstreams with the highest \p WeightOf.
template <typename weight_t>
static std::set<upstream_id> first(const std::vector<upstream_id> &All,
                                   std::size_t Count, weight_t WeightOf) {
  std::vector<std::pair<std::uint64_t, const upstream_id *>> Ranked;
  Ranked.reserve(All.size());
  for (const auto &Id : All)
    Ranked.emplace_back(WeightOf(Id), &Id);
  auto End = Ranked.begin() +
             static_cast<std::ptrdiff_t>(std::min(Count, Ranked.size()));
  std::partial_sort(Ranked.begin(), End, Ranked.end(),
                    [](const auto &L, const auto &R) {
                      return L.first > R.first ||
                             (L.first == R.first && *L.second < *R.second);
                    });
  std::set<upstream_id> Chosen;
  for (auto It = Ranked.begin(); It != End; ++It)
    Chosen.insert(*It->second);
  return Chosen;
}

upstream_partition::upstream_partition(std::vector<upstream_id> Ids,
                                       const prompt &Prompt, double Reserved)
    : All(std::move(Ids)) {
  if (Prompt.tokensIn() > 0 && All.size() >= MinUpstreamsToPartition) {
    auto Count = static_cast<std::size_t>(
        std::lround(Reserved * static_cast<double>(All.size())));
    ReservedForSmallModels = first(All, Count, [](const upstream_id &Id) {
      return ~stableHash(Id.text());
    });
  }
  if (const prompt_part *Shared = sharedPart(Prompt)) {
    std::size_t Count =
        (All.size() + MaxUnsampledUpstreams - 1) / MaxUnsampledUpstreams;
    Homes = first(All, Count, [Shared](const upstream_id &Id) {
      return rendezvousWeight(Shared->id(), Id.text());
    });
  }
}

std::set<upstream_id>
upstream_partition::shortlist(const std::string &Request) const {
  std::size_t Count =
      All.size() <= MaxUnsampledUpstreams ? All.size() : SampleSize;
  auto Chosen = first(All, Count, [&Request](const upstream_id &Id) {
    return rendezvousWeight(Request, Id.text());
  });
  Chosen.insert(Homes.begin(), Homes.end());
  return Chosen;
}
