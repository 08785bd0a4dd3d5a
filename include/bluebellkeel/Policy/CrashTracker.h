#ifndef BLUEBELLKEEL_POLICY_CRASHTRACKER_H
#define BLUEBELLKEEL_POLICY_CRASHTRACKER_H

#include "bluebellkeel/Core/RecentMap.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/CrashBlock.h"
#include "bluebellkeel/Policy/CrashRecord.h"
#include "bluebellkeel/Policy/RequestCrashReport.h"
#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Tracks which requests were running when upstreams crashed, and blocks a
/// request for EntryLifetime after enough of them. A request that crashes
/// upstreams crashes each of them, so one that succeeds merely ran beside the
/// cause: crashes before a success, or within SuccessLifetime after it, do not
/// count. Connections that break while an upstream restarts are not counted
/// either. Thread-safe.
class crash_tracker {
public:
  /// Number of distinct upstreams whose crashes block a request by default.
  static constexpr std::size_t DefaultLimit = 2;
  /// How long a request stays blocked or suspected after its latest crash.
  static constexpr seconds EntryLifetime{600};
  /// How long a success speaks against later crashes. A request that has
  /// succeeded may still crash upstreams later, for example a newer version.
  static constexpr seconds SuccessLifetime{10};
  /// How long after a crash a broken connection is attributed to the restart;
  /// process managers restart a process within about this time.
  static constexpr seconds RestartTime{5};
  /// Maximum number of requests tracked per shard, separately for crashes and
  /// for successes.
  static constexpr std::size_t MaxEntries = 1024;
  /// Maximum number of cleared requests tracked per shard.
  static constexpr std::size_t MaxCleared = 24;
  /// Maximum number of crashes tracked per request.
  static constexpr std::size_t MaxCrashes = 8;
  /// Requests with this many crashes are reported to peers for as long as the
  /// crashes count, others for ReportAge. Few requests have two by chance.
  static constexpr std::size_t MinLastingCrashes = 2;
  /// How long peers are told of a crash or of a success that cleared a request.
  static constexpr seconds ReportAge{6};
  /// Crashes are not reported in the last part of their lifetime, so that a
  /// slow peer does not bring them back to an instance that has forgotten them.
  static constexpr seconds ReportMargin{60};
  /// Maximum number of crashes, and of successes, in a report.
  static constexpr std::size_t MaxReported = 24;

  /// \param Limit number of distinct upstreams whose crashes block a request.
  explicit crash_tracker(const time_source &Clock,
                         std::size_t Limit = DefaultLimit)
      : Clock(Clock), Limit(Limit) {}

  /// Records that \p Upstream broke the connection of \p Request, which was
  /// sent at \p Sent. Returns true if this is a new crash of the request, to be
  /// reported to peers.
  bool noteCrash(const fingerprint &Request, const upstream_id &Upstream,
                 monotonic_time Sent);
  /// Records a crash that a peer reports. A peer may report the same crash
  /// repeatedly.
  void notePeerCrash(const request_crash &Crash);
  void noteSuccess(const fingerprint &Request);
  /// Records that a request was cleared by a success at a peer.
  void notePeerSuccess(const request_success &Success);
  bool blocked(const fingerprint &Request) {
    return crashesOf(Request) >= Limit;
  }
  /// Returns the block of \p Request; empty if it is not blocked.
  std::optional<crash_block> blockOf(const fingerprint &Request);
  /// True after the first crash. A suspected request runs beside as few others
  /// as possible.
  bool suspected(const fingerprint &Request);
  /// Returns the number of upstreams that crashed with the request.
  std::size_t crashesOf(const fingerprint &Request);
  /// Returns what peers need to reach the same conclusions. A block is reported
  /// as long as it lasts, since a peer may have started after the crashes. The
  /// size is bounded; if there are more crashes, reports name different ones.
  request_crash_report report();
  /// Returns the requests that \p Report blocks and that were not blocked.
  std::vector<fingerprint> merge(const request_crash_report &Report);

  /// Returns the requests of which this instance has seen, since the last call,
  /// a crash that blocks them or a success that ended their block.
  std::vector<fingerprint> takeBlockChanges();
  /// Returns what blocks \p Request; empty if it is not blocked.
  std::optional<crash_record> blockRecord(const fingerprint &Request);

private:
  /// The crashes of one request, with their times.
  struct entry {
    std::map<upstream_id, monotonic_time> Crashes;

    monotonic_time latest() const;
    /// Determines which entry makes room for a new one: that of the fewest
    /// crashes, and of these the one whose latest crash is oldest.
    auto rank() const { return std::pair(Crashes.size(), latest()); }
    /// Records a crash; returns false if it is known.
    bool add(const upstream_id &Upstream, monotonic_time At);
  };
  /// A success that cleared a request.
  struct cleared_entry {
    monotonic_time SuccessAt;
    /// Time at which the success was last found to concern peers.
    monotonic_time AnnouncedAt;
  };

  using entry_map = std::map<fingerprint, entry>;
  using cleared_map = std::map<fingerprint, cleared_entry>;
  /// Time of the last crash of each upstream.
  using crash_times = std::map<upstream_id, monotonic_time>;

  using request_set = std::set<fingerprint>;

  /// The times of the recent successes of one shard.
  struct success_map : recent_map<fingerprint, monotonic_time> {
    success_map() : recent_map(MaxEntries) {}
  };

  /// Returns the time of the latest success of \p Request that is known.
  std::optional<monotonic_time> latestSuccess(const fingerprint &Request);
  /// True if \p Request succeeded after a crash at \p CrashAt, or less than
  /// SuccessLifetime before it.
  bool isSound(const fingerprint &Request, monotonic_time CrashAt);
  /// Records a success and forgets the crashes up to \p Until. Returns true if
  /// the request was blocked.
  bool noteSuccessAt(const fingerprint &Request, monotonic_time At,
                     monotonic_time Until);
  void noteBlockChange(const fingerprint &Request);
  /// Includes the latest success of \p Request in the next reports to peers.
  void announce(const fingerprint &Request);
  /// Returns the crashes that peers should know, ordered by request.
  std::vector<request_crash> crashesToReport(monotonic_time Now);
  std::vector<request_success> successesToReport(monotonic_time Now);
  /// Removes the expired entries and, if the shard is still full, the one of
  /// the lowest rank.
  static void removeExpired(entry_map &Shard, monotonic_time Now);
  bool restartingAt(const upstream_id &Upstream, monotonic_time Sent);
  void noteTime(const upstream_id &Upstream, monotonic_time At);
  /// Returns false if the crash was known already, or if an equal request
  /// succeeded shortly before.
  bool recordCrash(const fingerprint &Request, const upstream_id &Upstream,
                   monotonic_time At);

  const time_source &Clock;
  const std::size_t Limit;
  /// Number of reports so far; varies which crashes are in a report.
  std::atomic<std::size_t> Reports{0};
  sharded<entry_map> Entries;
  sharded<crash_times> Times;
  sharded<success_map> Successes;
  sharded<cleared_map> Cleared;
  sharded<request_set> BlockChanges;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHTRACKER_H
