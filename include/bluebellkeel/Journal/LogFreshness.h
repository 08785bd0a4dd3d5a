#ifndef BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H
#define BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <optional>

namespace bluebellkeel {

/// When a view of the log was last known to be complete, by this instance's
/// own reading or by a peer's. While a read waits for news on a connection
/// that is probed, there is none.
class log_freshness {
public:
  /// \param SilenceLimit time after which probes give a silent connection up.
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
  /// The log was read; what it answered was asked for at \p AskedAt.
  void noteRead(monotonic_time AskedAt) {
    absl::MutexLock Lock(&Mutex);
    OwnReadAsOf = std::max(OwnReadAsOf.value_or(AskedAt), AskedAt);
    CompleteAsOf = std::max(CompleteAsOf.value_or(AskedAt), AskedAt);
  }
  /// A peer that knows no more than this instance was sure of it then.
  void notePeer(monotonic_time At) {
    absl::MutexLock Lock(&Mutex);
    CompleteAsOf = std::max(CompleteAsOf.value_or(At), At);
  }

  /// As of \p Now; empty before the first time.
  std::optional<monotonic_time> completeAsOf(monotonic_time Now) const {
    absl::MutexLock Lock(&Mutex);
    return atLeastProbed(CompleteAsOf, Now);
  }
  /// The same for this instance's own reading.
  std::optional<monotonic_time> ownReadAsOf(monotonic_time Now) const {
    absl::MutexLock Lock(&Mutex);
    return atLeastProbed(OwnReadAsOf, Now);
  }

private:
  std::optional<monotonic_time> atLeastProbed(std::optional<monotonic_time> At,
                                              monotonic_time Now) const
      ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    if (At && Waiting)
      return std::max(*At, Now - SilenceLimit);
    return At;
  }

  const milliseconds SilenceLimit;
  mutable absl::Mutex Mutex;
  bool Waiting ABSL_GUARDED_BY(Mutex) = false;
  std::optional<monotonic_time> OwnReadAsOf ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> CompleteAsOf ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_LOGFRESHNESS_H
