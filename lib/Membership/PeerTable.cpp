#include "bluebellkeel/Membership/PeerTable.h"

using namespace bluebellkeel;

using status_map = std::map<instance_id, peer_status>;

void peer_table::recordAnswer(const heartbeat &Answer,
                              monotonic_time RequestedAt) {
  Peers.withShard(Answer.from().text(), [&](status_map &Shard) {
    peer_status &Stored = Shard[Answer.from()];
    if (RequestedAt >= Stored.requestedAt())
      Stored = peer_status(RequestedAt, Answer);
  });
}

std::optional<peer_status> peer_table::find(const instance_id &Id) {
  return Peers.withShard(Id.text(),
                         [&](status_map &Shard) -> std::optional<peer_status> {
                           auto Found = Shard.find(Id);
                           if (Found == Shard.end())
                             return std::nullopt;
                           return Found->second;
                         });
}

std::vector<peer_status> peer_table::all() {
  std::vector<peer_status> Result;
  Peers.forEachShard([&](status_map &Shard) {
    for (const auto &[Id, Status] : Shard)
      Result.push_back(Status);
  });
  return Result;
}

void peer_table::removeUnlisted(const std::set<instance_id> &Listed) {
  Peers.forEachShard([&](status_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      if (Listed.count(It->first) > 0)
        ++It;
      else
        It = Shard.erase(It);
    }
  });
}
