#include "bluebellkeel/Membership/AddressSelector.h"
#include <algorithm>
#include <map>

using namespace bluebellkeel;

using address_list = std::vector<network_address>;

/// Reduces \p Addresses to a random choice of at most \p Count, in random
/// order.
static void keepRandom(address_list &Addresses, std::size_t Count,
                       random_source &Random) {
  Count = std::min(Count, Addresses.size());
  for (std::size_t I = 0; I < Count; ++I)
    std::swap(Addresses[I],
              Addresses[I + Random.uniformBelow(Addresses.size() - I)]);
  Addresses.resize(Count);
}

address_selection address_selector::selectAddresses(
    monotonic_time Now, bool SelfServing,
    const std::vector<instance_record> &Listed,
    const std::vector<peer_status> &Peers,
    const std::set<data_centre_id> &ExcludedCentres,
    random_source &Random) const {
  std::map<instance_id, const peer_status *> Known;
  for (const auto &Peer : Peers)
    Known[Peer.answer().from()] = &Peer;
  address_list Available;
  address_list Fallback;
  for (const auto &Record : Listed) {
    if (Record.state() != instance_state::Live)
      continue;
    if (ExcludedCentres.count(Record.dataCentre()) > 0)
      continue;
    Fallback.push_back(Record.callerAddress());
    if (Record.id() == Self) {
      if (SelfServing)
        Available.push_back(Record.callerAddress());
      continue;
    }
    auto Peer = Known.find(Record.id());
    if (Peer == Known.end())
      continue;
    if (Evaluator.isSilent(Now, *Peer->second) ||
        !Peer->second->answer().serving())
      continue;
    Available.push_back(Record.callerAddress());
  }
  address_list &Chosen = Available.empty() ? Fallback : Available;
  keepRandom(Chosen, MaxAddresses, Random);
  return address_selection(std::move(Chosen), Lifetime);
}
