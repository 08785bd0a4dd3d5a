#ifndef BLUEBELLKEEL_JOURNAL_LOGAGE_H
#define BLUEBELLKEEL_JOURNAL_LOGAGE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <optional>

namespace bluebellkeel {

/// When a view of the log was last known to be complete, by this instance's
/// own reading or by a peer's.
class log_age {
public:
  /// The log was read; what it answered was asked for at \p AskedAt.
  void noteRead(monotonic_time AskedAt) {
    absl::MutexLock Lock(&Mutex);
    OwnAt = std::max(OwnAt.value_or(AskedAt), AskedAt);
    KnownAt = std::max(KnownAt.value_or(AskedAt), AskedAt);
  }
  /// A peer that knows no more than this instance was sure of it then.
  void notePeer(monotonic_time At) {
    absl::MutexLock Lock(&Mutex);
    KnownAt = std::max(KnownAt.value_or(At), At);
  }

  /// Empty before the first time.
  std::optional<monotonic_time> knownAt() const {
    absl::MutexLock Lock(&Mutex);
    return KnownAt;
  }
  /// The same for this instance's own reading.
  std::optional<monotonic_time> ownAt() const {
    absl::MutexLock Lock(&Mutex);
    return OwnAt;
  }

private:
  mutable absl::Mutex Mutex;
  std::optional<monotonic_time> OwnAt ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> KnownAt ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_LOGAGE_H
