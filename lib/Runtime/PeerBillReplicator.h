#ifndef BLUEBELLKEEL_LIB_RUNTIME_PEERBILLREPLICATOR_H
#define BLUEBELLKEEL_LIB_RUNTIME_PEERBILLREPLICATOR_H

#include "bluebellkeel/Journal/BillReplicator.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Peer/PeerLink.h"

namespace bluebellkeel {

/// Copies bills to one peer, preferably in another data centre. The peer also
/// appends the bills to the log; readers drop the duplicates.
class peer_bill_replicator final : public bill_replicator {
public:
  peer_bill_replicator(data_centre_id LocalCentre,
                       const instance_directory &Instances, peer_link &Link)
      : LocalCentre(std::move(LocalCentre)), Instances(Instances), Link(Link) {}

  void replicate(const std::vector<bill> &Bills,
                 std::function<void(bool)> Done) override;

private:
  /// Returns the peers to try, in order.
  std::vector<instance_record> candidatePeers() const;
  void tryNext(std::vector<instance_record> Remaining, std::vector<bill> Bills,
               std::function<void(bool)> Done);

  data_centre_id LocalCentre;
  const instance_directory &Instances;
  peer_link &Link;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_PEERBILLREPLICATOR_H
