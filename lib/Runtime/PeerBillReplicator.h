#ifndef BLUEBELLKEEL_LIB_RUNTIME_PEERBILLREPLICATOR_H
#define BLUEBELLKEEL_LIB_RUNTIME_PEERBILLREPLICATOR_H

#include "bluebellkeel/Journal/BillReplicator.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Peer/PeerLink.h"

namespace bluebellkeel {

/// Copies bills to a peer, in another data centre if there is one. The peer
/// appends them too; readers drop the second of each.
class peer_bill_replicator final : public bill_replicator {
public:
  peer_bill_replicator(data_centre_id Home, const instance_directory &Instances,
                       peer_link &Link)
      : Home(std::move(Home)), Instances(Instances), Link(Link) {}

  void replicate(const std::vector<bill> &Bills,
                 std::function<void(bool)> Done) override;

private:
  /// Peers to try, in order.
  std::vector<instance_record> candidatePeers() const;
  void tryNext(std::vector<instance_record> Left, std::vector<bill> Bills,
               std::function<void(bool)> Done);

  data_centre_id Home;
  const instance_directory &Instances;
  peer_link &Link;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_PEERBILLREPLICATOR_H
