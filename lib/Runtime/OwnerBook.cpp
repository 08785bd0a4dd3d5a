#include "OwnerBook.h"

using namespace bluebellkeel;

std::vector<instance_id> owner_book::candidates() const {
  std::vector<instance_id> Candidates;
  monotonic_time Now = Clock.monotonicNow();
  auto List = Instances.list();
  for (const auto &Record : *List) {
    if (Record.state() != instance_state::Live)
      continue;
    if (Record.id() == Self) {
      Candidates.push_back(Self);
      continue;
    }
    auto Peer = Peers.find(Record.id());
    if (!Peer || Judge.isSilent(Now, *Peer) || !Peer->answer().serving())
      continue;
    Candidates.push_back(Record.id());
  }
  return Candidates;
}

bool owner_book::inTouch() const {
  monotonic_time Now = Clock.monotonicNow();
  auto Asked = selectPeers(Self, *Instances.list());
  std::size_t Answering = 0;
  for (const auto &Record : Asked) {
    auto Peer = Peers.find(Record.id());
    if (Peer && !Judge.isSilent(Now, *Peer))
      ++Answering;
  }
  return 2 * (Answering + 1) >= Asked.size() + 1;
}

std::optional<instance_record>
owner_book::ownerOf(const upstream_id &Upstream) const {
  auto Owner = bluebellkeel::ownerOf(Upstream.text(), candidates());
  if (!Owner)
    return std::nullopt;
  auto List = Instances.list();
  for (const auto &Record : *List) {
    if (Record.id() == *Owner)
      return Record;
  }
  return std::nullopt;
}

std::vector<upstream_record>
owner_book::ownedOf(const std::vector<upstream_record> &Upstreams) const {
  std::vector<upstream_record> Owned;
  auto Candidates = candidates();
  for (const auto &Upstream : Upstreams) {
    if (bluebellkeel::ownerOf(Upstream.id().text(), Candidates) == Self)
      Owned.push_back(Upstream);
  }
  return Owned;
}
