#ifndef BLUEBELLKEEL_LIB_RUNTIME_PERIODICTASK_H
#define BLUEBELLKEEL_LIB_RUNTIME_PERIODICTASK_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include <functional>
#include <thread>

namespace bluebellkeel {

/// Runs an action repeatedly on its own thread, after each interval or earlier
/// when woken.
class periodic_task {
public:
  periodic_task(std::function<void()> Action, milliseconds Interval)
      : Action(std::move(Action)), Interval(Interval) {}
  ~periodic_task() { stop(); }

  void start();
  void stop();
  /// Runs the action without waiting for the interval, but at least MinInterval
  /// after the previous run.
  void wake();

private:
  static constexpr milliseconds MinInterval{5};

  void run();
  bool wokenOrStopped() const ABSL_SHARED_LOCKS_REQUIRED(Mutex) {
    return Woken || Stopped;
  }

  std::function<void()> Action;
  milliseconds Interval;
  absl::Mutex Mutex;
  bool Woken ABSL_GUARDED_BY(Mutex) = false;
  bool Stopped ABSL_GUARDED_BY(Mutex) = false;
  std::thread Thread;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_PERIODICTASK_H
