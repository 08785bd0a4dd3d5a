#ifndef BLUEBELLKEEL_UPSTREAM_LOADTRACKER_H
#define BLUEBELLKEEL_UPSTREAM_LOADTRACKER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/InstanceLoad.h"
#include "bluebellkeel/Upstream/LoadBoard.h"
#include "bluebellkeel/Upstream/QueueReport.h"
#include "bluebellkeel/Upstream/UpstreamLoad.h"
#include <atomic>
#include <map>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Tracks the load on each upstream: this instance's requests, the peers'
/// reports of theirs, and the upstream's own delayed reports.
class load_tracker {
public:
  /// Time for which a report from a peer or an upstream is used.
  static constexpr milliseconds ReportLifetime{2000};
  /// Time for which a reported speed is used; later the upstream counts as
  /// working at its usual speed. Other users of its machine come and go many
  /// times per second.
  static constexpr milliseconds TimeFactorLifetime{800};
  /// Age at which a board is no longer used, and the peers' own reports are
  /// used again.
  static constexpr milliseconds BoardLifetime{1500};
  /// Half-life of the suspicion that a failure adds.
  static constexpr milliseconds SuspicionHalfLife{1500};

  explicit load_tracker(const time_source &Clock) : Clock(Clock) {}

  /// Records a request sent with \p Prefill weighted prompt tokens to read.
  void noteSent(const upstream_id &Upstream, std::uint64_t Prefill);
  /// Records that the response to a request with \p Prefill tokens began.
  void notePrefillDone(const upstream_id &Upstream, std::uint64_t Prefill);
  void noteEnded(const upstream_id &Upstream);
  /// Records the load that the upstream reported with a response.
  void noteReport(const upstream_id &Upstream, const queue_report &Report);
  /// Adds \p Weight to the suspicion of \p Upstream.
  void noteFailure(const upstream_id &Upstream, double Weight);
  /// Lowers the suspicion of \p Upstream.
  void noteSuccess(const upstream_id &Upstream);
  /// Replaces all loads that \p Peer reported earlier.
  void notePeerReport(const instance_id &Peer,
                      const std::vector<instance_load> &Loads);

  /// Replaces the loads of the other instances on all upstreams by those of
  /// \p Board, and takes over its reports where they are newer.
  /// \param Own this instance's loads that are included in the totals.
  /// \param At time when \p Own was taken; the totals are not older.
  /// \param Complete true if every instance that may send requests
  /// contributed; then the totals count instead of what an upstream reports as
  /// running.
  void noteBoard(const load_board &Board, const std::vector<instance_load> &Own,
                 monotonic_time At, bool Complete);

  /// Returns the load on \p Upstream; forgets the expired reports on it.
  upstream_load loadOf(const upstream_id &Upstream);
  /// Returns this instance's load on each upstream where it has requests
  /// running.
  std::vector<instance_load> localLoads();
  /// Returns the reports that upstreams gave this instance after \p After.
  std::vector<upstream_report> reportsAfter(monotonic_time After);
  /// True if an upstream gave this instance a report of its speed after
  /// \p After.
  bool speedReportedAfter(monotonic_time After) const {
    return SpeedReportedAt.load(std::memory_order_relaxed) > After;
  }

private:
  struct peer_share {
    std::uint64_t Running = 0;
    std::uint64_t Prefill = 0;
    monotonic_time At;
  };

  struct board_share {
    std::uint64_t Running = 0;
    std::uint64_t Prefill = 0;
    monotonic_time At;
    bool Complete = false;
  };

  struct entry {
    std::uint64_t Running = 0;
    std::uint64_t Prefill = 0;
    std::map<instance_id, peer_share> Peers;
    std::uint32_t ReportedRunning = 0;
    std::uint32_t ReportedWaiting = 0;
    std::optional<double> ReportedTimeFactor;
    monotonic_time ReportedAt;
    /// True if the upstream gave the report to this instance.
    bool ReportIsOwn = false;
    /// The load of the other instances according to the last board.
    std::optional<board_share> Board;
    double Suspicion = 0;
    monotonic_time SuspectedAt;
  };

  using entry_map = std::map<upstream_id, entry>;

  struct known_load {
    double Running = 0;
    double Prefill = 0;
  };

  static bool hasBoard(const entry &Entry, monotonic_time Now) {
    return Entry.Board && Now - Entry.Board->At <= BoardLifetime;
  }
  /// Returns the load of the other instances; forgets expired reports.
  static known_load loadOfOthers(entry &Entry, monotonic_time Now);
  static double decayedSuspicion(const entry &Entry, monotonic_time Now);
  static std::optional<double> timeFactorOf(const entry &Entry,
                                            monotonic_time Now);

  const time_source &Clock;
  std::atomic<monotonic_time> SpeedReportedAt{monotonic_time::min()};
  sharded<entry_map> Entries;
  /// The upstreams in the latest report of each peer.
  sharded<std::map<instance_id, std::set<upstream_id>>> ReportedUpstreams;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADTRACKER_H
