#ifndef BLUEBELLKEEL_POLICY_CRASHTRACKER_H
#define BLUEBELLKEEL_POLICY_CRASHTRACKER_H

#include "bluebellkeel/Core/RecentSet.h"
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
/// cleared, so a bystander is not blamed. Neither is one that was sent after
/// the crash and found the upstream restarting, nor one whose like has
/// succeeded before: a request that crashes upstreams crashes each of them.
class crash_tracker {
public:
  /// Crashes of different upstreams after which a request is refused.
  static constexpr std::size_t CrashLimit = 2;
  /// How long a request stays blocked or suspected.
  static constexpr seconds EntryLifetime{600};
  /// How long after a crash broken connections come from the restart; process
  /// managers restart within about this time.
  static constexpr seconds RestartTime{5};
  /// Most requests that are remembered in one shard, for crashes and for
  /// successes.
  static constexpr std::size_t MaxEntries = 1024;

  explicit crash_tracker(const time_source &Clock) : Clock(Clock) {}

  /// \p Upstream broke off \p Request, which was sent at \p Sent. True when
  /// that is a new crash of this request, which peers should hear of.
  bool noteCrash(const fingerprint &Request, const upstream_id &Upstream,
                 monotonic_time Sent);
  /// A peer saw \p Request running when \p Upstream crashed; may be told more
  /// than once.
  void notePeerCrash(const fingerprint &Request, const upstream_id &Upstream);
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
  /// When each upstream crashed last.
  using crash_times = std::map<upstream_id, monotonic_time>;

  /// What one shard knows of requests that succeeded.
  struct success_set : recent_set<fingerprint> {
    success_set() : recent_set(MaxEntries) {}
  };

  bool succeededBefore(const fingerprint &Request);
  static void dropOld(entry_map &Shard, monotonic_time Now);
  bool restartingAt(const upstream_id &Upstream, monotonic_time Sent);
  void noteTime(const upstream_id &Upstream, monotonic_time Now);
  /// False if it was known already.
  bool recordCrash(const fingerprint &Request, const upstream_id &Upstream,
                   monotonic_time Now);

  const time_source &Clock;
  sharded<entry_map> Entries;
  sharded<crash_times> Times;
  sharded<success_set> Successes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHTRACKER_H
