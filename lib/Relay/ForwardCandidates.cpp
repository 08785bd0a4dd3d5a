#include "bluebellkeel/Relay/ForwardCandidates.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

bool forward_candidates::permitted(const registry_entry &Entry,
                                   const query &Query) const {
  const upstream_listing &Listing = Entry.listing();
  return Query.Tried.count(Listing.id()) == 0 &&
         !Deps.Notices.conditionOf(Listing.incarnationKey()).leaving() &&
         !Deps.Centres.closed(Listing.dataCentre()) &&
         Query.Rule.admits(Listing.version()) &&
         Deps.RollOuts.usable(Listing.service(), Listing.version());
}

bool forward_candidates::isCold(const registry_entry &Entry) const {
  return Deps.Clock.monotonicNow() < Entry.coldUntil() ||
         Deps.Centres.reopenedRecently(Entry.listing().dataCentre());
}

forward_candidates::entry_list
forward_candidates::permittedEntries(const query &Query,
                                     upstream_admission &Admission) const {
  entry_list Permitted;
  for (auto &Entry : Deps.Registry.serving(Query.ServiceConfig.service())) {
    if (permitted(*Entry, Query) && Admission.mayAdmit(Entry->listing()))
      Permitted.push_back(std::move(Entry));
  }
  return Permitted;
}

placement_candidate
forward_candidates::makeCandidate(const registry_entry &Entry,
                                  const query &Query,
                                  const upstream_partition &Partition) const {
  const upstream_id &Id = Entry.listing().id();
  placement_candidate::fields Fields;
  Fields.Listing = Entry.listing();
  Fields.Load = Deps.Loads.loadOf(Id);
  Fields.CachedTokens =
      Deps.Prefixes.cachedTokens(Query.Model, Query.Prompt, Id);
  Fields.SameDataCentre = Entry.listing().dataCentre() == Deps.LocalCentre;
  Fields.Cold = Query.ServiceConfig.coldRate() > 0 && isCold(Entry);
  Fields.Limited = Deps.Notices.conditionOf(Entry.listing().incarnationKey())
                       .rateLimit()
                       .has_value();
  Fields.ReservedForSmallModels = Partition.reservedForSmallModels(Id);
  Fields.Home = Partition.home(Id);
  return placement_candidate(std::move(Fields));
}

/// Sorts \p List in an order specific to the request, so that requests spread
/// over equally good upstreams.
static void
shuffleFor(const request_id &Request,
           std::vector<std::shared_ptr<const registry_entry>> &List) {
  using weighted =
      std::pair<std::uint64_t, std::shared_ptr<const registry_entry>>;
  std::vector<weighted> Weighted;
  Weighted.reserve(List.size());
  for (auto &Entry : List)
    Weighted.emplace_back(
        rendezvousWeight(Request.text(), Entry->listing().id().text()),
        std::move(Entry));
  std::sort(Weighted.begin(), Weighted.end(),
            [](const auto &L, const auto &R) { return L.first < R.first; });
  std::transform(Weighted.begin(), Weighted.end(), List.begin(),
                 [](auto &Pair) { return std::move(Pair.second); });
}

static std::vector<upstream_id>
idsOf(const std::vector<std::shared_ptr<const registry_entry>> &Entries) {
  std::vector<upstream_id> Ids;
  Ids.reserve(Entries.size());
  for (const auto &Entry : Entries)
    Ids.push_back(Entry->listing().id());
  return Ids;
}

tl::expected<placement_candidate, no_candidate>
forward_candidates::choose(const query &Query) const {
  upstream_admission Admission(Deps, Query.ServiceConfig.coldRate(),
                               Query.Light);
  entry_list Permitted = permittedEntries(Query, Admission);
  shuffleFor(Query.Request, Permitted);
  upstream_partition Partition(
      idsOf(Permitted), Query.Prompt,
      Deps.WorkMix.lightShare(Query.ServiceConfig.service()));
  auto Shortlisted = Partition.shortlist(Query.Request.text());
  Shortlisted.merge(Deps.Prefixes.readers(Query.Model, Query.Prompt));
  auto ShortlistEnd = std::stable_partition(
      Permitted.begin(), Permitted.end(), [&Shortlisted](const auto &Entry) {
        return Shortlisted.count(Entry->listing().id()) > 0;
      });
  auto Found = chooseBest(entry_list(Permitted.begin(), ShortlistEnd), Query,
                          Partition, Admission);
  if (!Found && ShortlistEnd != Permitted.end())
    Found = chooseBest(entry_list(ShortlistEnd, Permitted.end()), Query,
                       Partition, Admission);
  if (!Found)
    return tl::unexpected(Admission.rejection());
  return std::move(*Found);
}

std::optional<placement_candidate>
forward_candidates::chooseBest(const entry_list &Entries, const query &Query,
                               const upstream_partition &Partition,
                               upstream_admission &Admission) const {
  std::vector<placement_candidate> Candidates;
  Candidates.reserve(Entries.size());
  for (const auto &Entry : Entries)
    Candidates.push_back(makeCandidate(*Entry, Query, Partition));
  for (auto &Candidate : Deps.Placement.order(
           std::move(Candidates), Query.Prompt, Query.RelativeTokenTime)) {
    if (Admission.admit(Candidate))
      return std::move(Candidate);
  }
  return std::nullopt;
}
