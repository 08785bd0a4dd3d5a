#ifndef BLUEBELLKEEL_MEMBERSHIP_PEERSELECTOR_H
#define BLUEBELLKEEL_MEMBERSHIP_PEERSELECTOR_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Most peers that an instance asks for heartbeats. Keeps the control traffic
/// of an instance constant however many instances there are.
constexpr std::size_t MaxHeartbeatPeers = 8;

/// Returns the peers that \p Self asks for heartbeats, ordered by rendezvous
/// weight. Takes the data centres in turn, so that each is covered if
/// MaxHeartbeatPeers allows.
std::vector<instance_record>
selectPeers(const instance_id &Self,
            const std::vector<instance_record> &Listed);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_PEERSELECTOR_H
