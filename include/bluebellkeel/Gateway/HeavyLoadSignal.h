#ifndef BLUEBELLKEEL_GATEWAY_HEAVYLOADSIGNAL_H
#define BLUEBELLKEEL_GATEWAY_HEAVYLOADSIGNAL_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Relay/LoadListener.h"
#include <functional>
#include <optional>

namespace bluebellkeel {

/// Passes on that heavy work was sent, not more often than the interval.
class heavy_load_signal final : public load_listener {
public:
  /// What comes within one interval is told by the next regular exchange.
  static constexpr milliseconds Interval{60};

  explicit heavy_load_signal(const time_source &Clock) : Clock(Clock) {}

  void connect(std::function<void()> NewAction) {
    absl::MutexLock Lock(&Mutex);
    Action = std::move(NewAction);
  }
  void onHeavyPrefill() override {
    std::function<void()> Call;
    {
      absl::MutexLock Lock(&Mutex);
      monotonic_time Now = Clock.monotonicNow();
      if (ToldAt && Now - *ToldAt < Interval)
        return;
      ToldAt = Now;
      Call = Action;
    }
    if (Call)
      Call();
  }

private:
  const time_source &Clock;
  absl::Mutex Mutex;
  std::function<void()> Action ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> ToldAt ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_HEAVYLOADSIGNAL_H
