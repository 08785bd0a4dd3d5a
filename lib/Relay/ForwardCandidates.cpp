#include "bluebellkeel/Relay/ForwardCandidates.h"
#include <algorithm>

using namespace bluebellkeel;

bool forward_candidates::permitted(const roster_entry &Entry,
                                   const query &Query) const {
  const upstream_listing &Listing = Entry.listing();
  return Query.Tried.count(Listing.id()) == 0 &&
         !Ports.Centres.closed(Listing.dataCentre()) &&
         Query.Rule.admits(Listing.version()) &&
         Ports.RollOuts.usable(Listing.service(), Listing.version());
}

bool forward_candidates::isCold(const roster_entry &Entry) const {
  return Ports.Clock.monotonicNow() < Entry.coldUntil() ||
         Ports.Centres.reopenedLately(Entry.listing().dataCentre());
}

std::vector<placement_candidate>
forward_candidates::gather(const query &Query) const {
  std::vector<placement_candidate> Candidates;
  for (const auto &Entry : Ports.Roster.serving(Query.Traits.service())) {
    if (!permitted(Entry, Query))
      continue;
    const upstream_listing &Listing = Entry.listing();
    bool Cold = Query.Traits.coldRate() > 0 && isCold(Entry);
    Candidates.emplace_back(
        Listing, Ports.Loads.of(Listing.id()),
        Ports.Prefixes.cachedTokens(Query.Model, Query.Prompt, Listing.id()),
        Listing.dataCentre() == Ports.Home, Cold);
  }
  return Candidates;
}

std::optional<placement_candidate>
forward_candidates::choose(const query &Query) const {
  auto Ordered = Ports.Placement.order(gather(Query), Query.Prompt, Query.Pace);
  for (const auto &Candidate : Ordered) {
    if (Candidate.cold() &&
        !Ports.Cold.admit(Candidate.listing().id(), Query.Traits.coldRate(),
                          Ports.senders()))
      continue;
    return Candidate;
  }
  return std::nullopt;
}

double forward_candidates::occupancy(const service_id &Service) const {
  double Running = 0;
  double Slots = 0;
  for (const auto &Entry : Ports.Roster.serving(Service)) {
    Running += Ports.Loads.of(Entry.listing().id()).running();
    Slots += Entry.listing().slots();
  }
  return Slots > 0 ? Running / Slots : 0;
}
