#include "OwnershipResolver.h"
#include <set>

using namespace bluebellkeel;

bool ownership_resolver::isReachableAndServing(const instance_id &Id,
                                               monotonic_time Now) const {
  auto Peer = Peers.find(Id);
  return Peer && !Evaluator.isSilent(Now, *Peer) && Peer->answer().serving();
}

std::vector<instance_id> ownership_resolver::candidates() const {
  monotonic_time Now = Clock.monotonicNow();
  std::set<instance_id> Polled;
  auto Selected = Instances.peers();
  for (const auto &Record : *Selected)
    Polled.insert(Record.id());
  std::vector<instance_id> Candidates;
  auto List = Instances.list();
  for (const auto &Record : *List) {
    if (Record.state() != instance_state::Live)
      continue;
    if (Polled.count(Record.id()) > 0 &&
        !isReachableAndServing(Record.id(), Now))
      continue;
    Candidates.push_back(Record.id());
  }
  return Candidates;
}

bool ownership_resolver::reachesHalfOfPeers() const {
  monotonic_time Now = Clock.monotonicNow();
  auto Polled = Instances.peers();
  std::size_t Answering = 0;
  for (const auto &Record : *Polled) {
    auto Peer = Peers.find(Record.id());
    if (Peer && !Evaluator.isSilent(Now, *Peer))
      ++Answering;
  }
  return 2 * (Answering + 1) >= Polled->size() + 1;
}

std::optional<instance_record>
ownership_resolver::recordOf(const instance_id &Id) const {
  auto List = Instances.list();
  for (const auto &Record : *List) {
    if (Record.id() == Id)
      return Record;
  }
  return std::nullopt;
}

std::vector<upstream_record>
ownership_resolver::ownedOf(const std::vector<upstream_record> &Upstreams,
                            const std::vector<instance_id> &Candidates) const {
  std::vector<upstream_record> Owned;
  for (const auto &Upstream : Upstreams) {
    if (bluebellkeel::ownerOf(Upstream.id().text(), Candidates) == Self)
      Owned.push_back(Upstream);
  }
  return Owned;
}
