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

/// Tracks which requests were running when upstreams crashed, and blocks a
/// request for EntryLifetime after CrashLimit crashes. A request that succeeds
/// is cleared, and crashes of equal requests are no longer counted: a request
/// that crashes upstreams crashes each of them, so one that succeeds merely ran
/// beside the cause. Connections that break while an upstream restarts are not
/// counted either.
class crash_tracker {
public:
  /// Number of distinct upstreams whose crashes block a request.
  static constexpr std::size_t CrashLimit = 2;
  /// How long a request stays blocked or suspected after its latest crash.
  static constexpr seconds EntryLifetime{600};
  /// How long after a crash a broken connection is attributed to the restart;
  /// process managers restart a process within about this time.
  static constexpr seconds RestartTime{5};
  /// Maximum number of requests tracked per shard, separately for crashes and
  /// for successes.
  static constexpr std::size_t MaxEntries = 1024;
  /// Maximum number of cleared requests reported to peers.
  static constexpr std::size_t MaxCleared = 24;

  explicit crash_tracker(const time_source &Clock) : Clock(Clock) {}

  /// Records that \p Upstream broke the connection of \p Request, which was
  /// sent at \p Sent. Returns true if this is a new crash of the request, to be
  /// reported to peers.
  bool noteCrash(const fingerprint &Request, const upstream_id &Upstream,
                 monotonic_time Sent);
  /// Records that a peer saw \p Request running when \p Upstream crashed. A
  /// peer may report the same crash repeatedly.
  void notePeerCrash(const fingerprint &Request, const upstream_id &Upstream);
  void noteSuccess(const fingerprint &Request);
  /// Records that a request was cleared by a success at a peer.
  void notePeerSuccess(const fingerprint &Request) { noteSuccess(Request); }
  bool blocked(const fingerprint &Request);
  /// True after the first crash. A suspected request runs beside as few others
  /// as possible.
  bool suspected(const fingerprint &Request);
  /// Returns the number of upstreams that crashed with the request.
  std::size_t crashesOf(const fingerprint &Request);
  /// Returns the requests whose latest crash is at most \p Age old, with every
  /// upstream that crashed with them, for the peers.
  std::vector<std::pair<fingerprint, upstream_id>> recent(milliseconds Age);
  /// Returns requests with crashes, here or at peers, that were cleared at most
  /// \p Age ago, for the peers.
  std::vector<fingerprint> cleared(milliseconds Age);

private:
  struct entry {
    std::set<upstream_id> Crashed;
    monotonic_time Latest;
  };

  using entry_map = std::map<fingerprint, entry>;
  /// Time at which each cleared request was last found to concern peers.
  using cleared_map = std::map<fingerprint, monotonic_time>;
  /// Time of the last crash of each upstream.
  using crash_times = std::map<upstream_id, monotonic_time>;

  /// The recent successful requests of one shard.
  struct success_set : recent_set<fingerprint> {
    success_set() : recent_set(MaxEntries) {}
  };

  bool succeededBefore(const fingerprint &Request);
  void noteCleared(const fingerprint &Request);
  /// Removes the expired entries and, if the shard is still full, the oldest
  /// one.
  static void removeExpired(entry_map &Shard, monotonic_time Now);
  bool restartingAt(const upstream_id &Upstream, monotonic_time Sent);
  void noteTime(const upstream_id &Upstream, monotonic_time Now);
  /// Returns false if the crash was known already, or if an equal request
  /// succeeded before.
  bool recordCrash(const fingerprint &Request, const upstream_id &Upstream,
                   monotonic_time Now);

  const time_source &Clock;
  sharded<entry_map> Entries;
  sharded<crash_times> Times;
  sharded<success_set> Successes;
  sharded<cleared_map> Cleared;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHTRACKER_H
