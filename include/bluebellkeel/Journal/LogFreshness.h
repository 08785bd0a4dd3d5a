#ifndef BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H
#define BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <optional>

namespace bluebellkeel {

/// Tracks when a view of the log was last known to be complete, from this
/// instance's own completed reads or from a peer. Thread-safe.
class log_freshness {
public:
  /// Records a read of the log whose response was complete as of \p At, which
  /// is not before the request.
  void noteLogRead(monotonic_time At) {
    absl::MutexLock Lock(&Mutex);
    LocalReadAsOf = std::max(LocalReadAsOf.value_or(At), At);
    CompleteAsOf = std::max(CompleteAsOf.value_or(At), At);
  }
  /// Records that the view of a peer, which has no newer records than this one,
  /// was complete at \p At.
  void notePeerReport(monotonic_time At) {
    absl::MutexLock Lock(&Mutex);
    CompleteAsOf = std::max(CompleteAsOf.value_or(At), At);
  }

  /// Returns when the view was last known to be complete; empty when it never
  /// was.
  std::optional<monotonic_time> completeAsOf() const {
    absl::MutexLock Lock(&Mutex);
    return CompleteAsOf;
  }
  /// Returns the time since the view was last known to be complete, at \p Now;
  /// empty when it never was.
  std::optional<milliseconds> age(monotonic_time Now) const {
    auto Known = completeAsOf();
    if (!Known)
      return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(Now - *Known);
  }
  /// Like completeAsOf(), but from this instance's own reads only.
  std::optional<monotonic_time> localReadAsOf() const {
    absl::MutexLock Lock(&Mutex);
    return LocalReadAsOf;
  }

private:
  mutable absl::Mutex Mutex;
  std::optional<monotonic_time> LocalReadAsOf ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> CompleteAsOf ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H
