#ifndef BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H
#define BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include <atomic>
#include <chrono>
#include <cstddef>

namespace bluebellkeel {

/// State shared by all connections of a server.
class server_state {
public:
  std::atomic<std::size_t> Connections{0};
  std::atomic<bool> Draining{false};
  /// Size of the bodies of all requests being read or handled, in bytes.
  std::atomic<std::size_t> BufferedBytes{0};

  /// Counts a request as active until endRequest().
  void beginRequest() {
    absl::MutexLock Lock(&Mutex);
    ++Active;
  }
  void endRequest() {
    absl::MutexLock Lock(&Mutex);
    --Active;
  }
  std::size_t active() const {
    absl::MutexLock Lock(&Mutex);
    return Active;
  }
  /// Blocks until no request is active, \p Limit has elapsed or endWait() was
  /// called. Returns true if no request is active.
  bool awaitIdle(std::chrono::milliseconds Limit) const {
    absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(
        absl::Condition(this, &server_state::idleOrWaitEnded),
        absl::FromChrono(Limit));
    return Active == 0;
  }
  void endWait() {
    absl::MutexLock Lock(&Mutex);
    WaitEnded = true;
  }

private:
  bool idleOrWaitEnded() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return Active == 0 || WaitEnded;
  }

  mutable absl::Mutex Mutex;
  std::size_t Active ABSL_GUARDED_BY(Mutex) = 0;
  bool WaitEnded ABSL_GUARDED_BY(Mutex) = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_SERVERSTATE_H
