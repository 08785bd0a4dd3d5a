#ifndef BLUEBELLKEEL_MEMBERSHIP_PEERTABLE_H
#define BLUEBELLKEEL_MEMBERSHIP_PEERTABLE_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Membership/PeerStatus.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// The last heartbeats of all peers. Thread-safe.
class peer_table {
public:
  /// Records \p Answer to the request sent at \p RequestedAt. Drops an answer
  /// to an older request than the stored one.
  void recordAnswer(const heartbeat &Answer, monotonic_time RequestedAt);

  std::optional<peer_status> find(const instance_id &Id);
  std::vector<peer_status> all();

  /// Removes all peers that are not in \p Listed.
  void removeUnlisted(const std::set<instance_id> &Listed);

private:
  sharded<std::map<instance_id, peer_status>> Peers;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_PEERTABLE_H
