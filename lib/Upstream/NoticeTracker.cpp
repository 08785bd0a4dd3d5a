#include "bluebellkeel/Upstream/NoticeTracker.h"

using namespace bluebellkeel;

bool notice_tracker::note(const upstream_incarnation &Upstream,
                          const upstream_notice &Notice) {
  const upstream_id &Id = Upstream.upstream();
  return Entries.withShard(Id.text(), [&](entry_map &Shard) {
    auto Known = Shard.find(Id);
    bool Same =
        Known != Shard.end() && Known->second.Incarnation == Upstream.number();
    if (Notice == (Same ? Known->second.Notice : upstream_notice()))
      return false;
    if (Notice == upstream_notice())
      Shard.erase(Known);
    else
      Shard[Id] = {Upstream.number(), Notice};
    return true;
  });
}
