#ifndef BLUEBELLKEEL_POLICY_CRASHBOOK_H
#define BLUEBELLKEEL_POLICY_CRASHBOOK_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include <map>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Which requests were running when upstreams crashed. A request that was
/// there at several crashes is refused for a while; one that then succeeds is
/// cleared, so a bystander is not blamed.
class crash_book {
public:
  /// Crashes of different upstreams after which a request is refused.
  static constexpr std::size_t CrashLimit = 2;
  /// How long a request stays blocked or suspected.
  static constexpr seconds Memory{600};
  /// Most requests that are remembered in one shard.
  static constexpr std::size_t MaxEntries = 1024;

  explicit crash_book(const time_source &Clock) : Clock(Clock) {}

  /// \p Request was running when \p Upstream crashed; also for what peers say.
  void noteCrash(const fingerprint &Request, const upstream_id &Upstream);
  void noteSuccess(const fingerprint &Request);
  bool blocked(const fingerprint &Request);
  /// True after a first crash; such a request runs beside as few others as
  /// possible.
  bool suspected(const fingerprint &Request);
  /// How many upstreams crashed with the request.
  std::size_t crashesOf(const fingerprint &Request);
  /// The crashes of the last while, for peers.
  std::vector<std::pair<fingerprint, upstream_id>> recent(milliseconds Age);

private:
  struct entry {
    std::set<upstream_id> Crashed;
    monotonic_time Latest;
  };

  using entry_map = std::map<fingerprint, entry>;

  static void dropOld(entry_map &Shard, monotonic_time Now);

  const time_source &Clock;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHBOOK_H
