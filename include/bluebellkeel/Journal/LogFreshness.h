#ifndef BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H
#define BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <optional>

namespace bluebellkeel {

/// Tracks when a view of the log was last known to be complete, from this
/// instance's own reads or from a peer. While a read waits on a connection that
/// is probed, the view is known to be complete as of SilenceLimit ago.
/// Thread-safe.
class log_freshness {
public:
  /// \param SilenceLimit time after which probes close a silent connection.
  explicit log_freshness(milliseconds SilenceLimit)
      : SilenceLimit(SilenceLimit) {}

  void beginWait() {
    absl::MutexLock Lock(&Mutex);
    Waiting = true;
  }
  void endWait() {
    absl::MutexLock Lock(&Mutex);
    Waiting = false;
  }
  /// Records a read of the log that was requested at \p RequestedAt.
  void noteLogRead(monotonic_time RequestedAt) {
    absl::MutexLock Lock(&Mutex);
    LocalReadAsOf = std::max(LocalReadAsOf.value_or(RequestedAt), RequestedAt);
    CompleteAsOf = std::max(CompleteAsOf.value_or(RequestedAt), RequestedAt);
  }
  /// Records that the view of a peer, which has no newer records than this one,
  /// was complete at \p At.
  void notePeerReport(monotonic_time At) {
    absl::MutexLock Lock(&Mutex);
    CompleteAsOf = std::max(CompleteAsOf.value_or(At), At);
  }

  /// Returns when the view was last known to be complete, as seen at \p Now;
  /// empty when it never was.
  std::optional<monotonic_time> completeAsOf(monotonic_time Now) const {
    absl::MutexLock Lock(&Mutex);
    return extendWhileWaiting(CompleteAsOf, Now);
  }
  /// Like completeAsOf(), but from this instance's own reads only.
  std::optional<monotonic_time> localReadAsOf(monotonic_time Now) const {
    absl::MutexLock Lock(&Mutex);
    return extendWhileWaiting(LocalReadAsOf, Now);
  }

private:
  std::optional<monotonic_time>
  extendWhileWaiting(std::optional<monotonic_time> At, monotonic_time Now) const
      ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    if (At && Waiting)
      return std::max(*At, Now - SilenceLimit);
    return At;
  }

  const milliseconds SilenceLimit;
  mutable absl::Mutex Mutex;
  bool Waiting ABSL_GUARDED_BY(Mutex) = false;
  std::optional<monotonic_time> LocalReadAsOf ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> CompleteAsOf ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H
