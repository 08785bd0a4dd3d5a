#include "bluebellkeel/Relay/CandidateFinder.h"

using namespace bluebellkeel;

std::vector<upstream_record>
candidate_finder::find(const pool_id &Pool, const routing_settings &Settings,
                       const std::set<upstream_id> &Tried,
                       upstream_chooser &Chooser,
                       const fingerprint &Prefix) const {
  std::vector<upstream_candidate> Preferred;
  std::vector<upstream_candidate> LastResort;
  auto List = Directory.list();
  for (const auto &Record : List->pool(Pool)) {
    if (Record.leaving() || Settings.isOutOfService(Record.dataCentre()))
      continue;
    bool Avoided = Tried.count(Record.id()) > 0 || !Health.healthy(Record.id());
    auto &Group = Avoided ? LastResort : Preferred;
    Group.emplace_back(Record.id(), Grants.inFlight(Record.id()).requests(),
                       Record.dataCentre() == LocalCentre);
  }
  auto Ordered = Chooser.order(
      Preferred.empty() ? std::move(LastResort) : std::move(Preferred), Prefix);
  std::vector<upstream_record> Result;
  Result.reserve(Ordered.size());
  for (const auto &Candidate : Ordered)
    Result.push_back(*List->find(Candidate.id()));
  return Result;
}

std::optional<upstream_record>
candidate_finder::dispatchable(const upstream_id &Id,
                               const routing_settings &Settings) const {
  auto List = Directory.list();
  const upstream_record *Record = List->find(Id);
  if (!Record || Record->leaving() ||
      Settings.isOutOfService(Record->dataCentre()))
    return std::nullopt;
  return *Record;
}
