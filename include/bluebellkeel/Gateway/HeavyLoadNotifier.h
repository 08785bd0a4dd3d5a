#ifndef BLUEBELLKEEL_GATEWAY_HEAVYLOADNOTIFIER_H
#define BLUEBELLKEEL_GATEWAY_HEAVYLOADNOTIFIER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Relay/LoadListener.h"
#include <functional>
#include <optional>

namespace bluebellkeel {

/// Forwards heavy-prefill events to a callback, at most once per interval.
/// Thread-safe; the callback runs on the thread that reports the event.
class heavy_load_notifier final : public load_listener {
public:
  /// Events within one interval are covered by the next regular exchange.
  static constexpr milliseconds Interval{60};

  explicit heavy_load_notifier(const time_source &Clock) : Clock(Clock) {}

  void setCallback(std::function<void()> NewCallback) {
    absl::MutexLock Lock(&Mutex);
    Callback = std::move(NewCallback);
  }
  void onHeavyPrefill() override {
    std::function<void()> Call;
    {
      absl::MutexLock Lock(&Mutex);
      monotonic_time Now = Clock.monotonicNow();
      if (NotifiedAt && Now - *NotifiedAt < Interval)
        return;
      NotifiedAt = Now;
      Call = Callback;
    }
    if (Call)
      Call();
  }

private:
  const time_source &Clock;
  absl::Mutex Mutex;
  std::function<void()> Callback ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> NotifiedAt ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_HEAVYLOADNOTIFIER_H
