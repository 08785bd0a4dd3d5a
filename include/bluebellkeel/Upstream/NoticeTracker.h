#ifndef BLUEBELLKEEL_UPSTREAM_NOTICETRACKER_H
#define BLUEBELLKEEL_UPSTREAM_NOTICETRACKER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Upstream/UpstreamIncarnation.h"
#include "bluebellkeel/Upstream/UpstreamNotice.h"
#include <map>

namespace bluebellkeel {

/// Holds what upstreams say of themselves in their responses. Thread-safe.
class notice_tracker {
public:
  /// Records the notice in a response of \p Upstream. Returns true if it
  /// differs from that of the response before.
  bool note(const upstream_incarnation &Upstream,
            const upstream_notice &Notice);

private:
  struct entry {
    std::uint64_t Incarnation = 0;
    upstream_notice Notice;
  };

  using entry_map = std::map<upstream_id, entry>;

  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_NOTICETRACKER_H
