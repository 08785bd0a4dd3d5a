#ifndef BLUEBELLKEEL_LIB_GATEWAY_BLOCKWAIT_H
#define BLUEBELLKEEL_LIB_GATEWAY_BLOCKWAIT_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include <optional>

namespace bluebellkeel {

/// Decides whether an instance that could serve otherwise still waits for the
/// blocked requests in the log. Without them, the first requests after a
/// restart could crash upstreams. Thread-safe.
class block_wait {
public:
  /// Longest wait. Peers report the blocked requests, too.
  static constexpr milliseconds MaxWait{2000};

  explicit block_wait(const time_source &Clock) : Clock(Clock) {}

  void noteRead() {
    absl::MutexLock Lock(&Mutex);
    Read = true;
  }
  bool hasRead() const {
    absl::MutexLock Lock(&Mutex);
    return Read;
  }
  /// Called when the instance has all else that it needs to serve. Returns true
  /// if it should start, and begins the wait at the first call.
  bool isOver() {
    absl::MutexLock Lock(&Mutex);
    monotonic_time Now = Clock.monotonicNow();
    Since = Since.value_or(Now);
    return Read || Now - *Since >= MaxWait;
  }

private:
  const time_source &Clock;
  mutable absl::Mutex Mutex;
  bool Read ABSL_GUARDED_BY(Mutex) = false;
  std::optional<monotonic_time> Since ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_BLOCKWAIT_H
