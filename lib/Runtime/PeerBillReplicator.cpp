#include "PeerBillReplicator.h"
#include "bluebellkeel/Peer/BillCopy.h"
#include <algorithm>

using namespace bluebellkeel;

/// Maximum number of peers that are tried for one copy.
static constexpr std::size_t MaxTries = 3;

std::vector<instance_record> peer_bill_replicator::candidatePeers() const {
  auto Peers = *Instances.peers();
  std::stable_partition(Peers.begin(), Peers.end(),
                        [&](const instance_record &Peer) {
                          return Peer.dataCentre() != LocalCentre;
                        });
  if (Peers.size() > MaxTries)
    Peers.resize(MaxTries);
  return Peers;
}

void peer_bill_replicator::replicate(const std::vector<bill> &Bills,
                                     std::function<void(bool)> Done) {
  tryNext(candidatePeers(), Bills, std::move(Done));
}

void peer_bill_replicator::tryNext(std::vector<instance_record> Remaining,
                                   std::vector<bill> Bills,
                                   std::function<void(bool)> Done) {
  if (Remaining.empty()) {
    Done(false);
    return;
  }
  instance_record Peer = Remaining.front();
  Remaining.erase(Remaining.begin());
  Link.sendQuery(
      Peer, bill_copy(Bills),
      [this, Remaining, Bills, Done](std::optional<peer_body> Answer) {
        const auto *Ack =
            Answer ? std::get_if<bill_copy_ack>(&*Answer) : nullptr;
        if (Ack && Ack->held())
          Done(true);
        else
          tryNext(Remaining, Bills, Done);
      });
}
