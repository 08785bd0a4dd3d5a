#ifndef BLUEBELLKEEL_MEMBERSHIP_PEERTABLE_H
#define BLUEBELLKEEL_MEMBERSHIP_PEERTABLE_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Membership/PeerStatus.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// The last answers of all peers.
class peer_table {
public:
  /// Takes \p Answer to the question sent at \p AskedAt. An answer to an older
  /// question than the one held is dropped.
  void recordAnswer(const heartbeat &Answer, monotonic_time AskedAt);

  std::optional<peer_status> find(const instance_id &Id);
  std::vector<peer_status> all();

  /// Forgets all peers that are not in \p Listed.
  void keepOnly(const std::set<instance_id> &Listed);

private:
  sharded<std::map<instance_id, peer_status>> Peers;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_PEERTABLE_H
