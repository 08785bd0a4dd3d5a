#ifndef BLUEBELLKEEL_UPSTREAM_NOTICETRACKER_H
#define BLUEBELLKEEL_UPSTREAM_NOTICETRACKER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/NoticeReport.h"
#include "bluebellkeel/Upstream/UpstreamCondition.h"
#include "bluebellkeel/Upstream/UpstreamNotice.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// Holds what upstreams say of themselves in their responses, to this instance
/// or to its peers. The latest response of an incarnation counts. Thread-safe.
class notice_tracker {
public:
  /// Time after the latest response for which peers are told of it, and for
  /// which its limit counts as confirmed.
  static constexpr seconds ReportAge{10};
  /// Time after the latest response for which its limit is kept to.
  static constexpr seconds LimitLifetime{600};
  /// Time after the latest response for which an upstream counts as leaving.
  static constexpr seconds LeavingLifetime{86400};
  /// Longest pause that is kept to, so that a faulty upstream is asked again.
  static constexpr seconds MaxPause{300};
  /// Maximum number of upstreams in a report.
  static constexpr std::size_t MaxReported = 256;

  explicit notice_tracker(const time_source &Clock) : Clock(Clock) {}

  /// Records the notice in a response of \p Upstream. Returns true if it
  /// differs from that of the response before.
  bool note(const upstream_incarnation &Upstream,
            const upstream_notice &Notice);
  upstream_condition conditionOf(const upstream_incarnation &Upstream);

  /// Returns what peers need to know, latest responses first.
  std::vector<notice_report> report();
  /// Takes over what a peer knows from later responses than this instance;
  /// returns the reports that say something new.
  std::vector<notice_report> merge(const std::vector<notice_report> &Reports);

private:
  struct entry {
    std::uint64_t Incarnation = 0;
    /// The notice in the latest response to this instance.
    upstream_notice Notice;
    /// The limit in the latest response to any instance, and its time.
    std::optional<double> RateLimit;
    /// True if any response announced that the upstream will leave.
    bool Leaving = false;
    monotonic_time At;
    /// End of the pause that the upstream wants from this instance.
    monotonic_time PausedUntil;
  };

  using entry_map = std::map<upstream_id, entry>;

  /// Returns true if \p Report says something new.
  bool merge(const notice_report &Report, monotonic_time Now);
  static bool isExpired(const entry &Entry, monotonic_time Now);

  const time_source &Clock;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_NOTICETRACKER_H
