#ifndef BLUEBELLKEEL_GATEWAY_GATEWAYSTATE_H
#define BLUEBELLKEEL_GATEWAY_GATEWAYSTATE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/LogFreshness.h"
#include "bluebellkeel/Relay/ServingStatus.h"
#include "bluebellkeel/Startup/ReloadableSettings.h"

namespace bluebellkeel {

/// The serving phase of this instance and the age of its settings. Thread-safe.
class gateway_state final : public serving_status {
public:
  gateway_state(const log_freshness &SettingsAge,
                const guarded_value<reloadable_settings> &Reloadable,
                const time_source &Clock)
      : Age(SettingsAge), Reloadable(Reloadable), Clock(Clock) {}

  serving_phase phase() const override {
    absl::MutexLock Lock(&Mutex);
    return Phase;
  }
  /// Moves to a later phase; an earlier or equal \p To is ignored.
  void advance(serving_phase To) {
    absl::MutexLock Lock(&Mutex);
    if (To > Phase)
      Phase = To;
  }
  /// Begins the stop of this instance.
  ///
  /// \param At time by which every response must be complete.
  void stopBy(monotonic_time At) {
    absl::MutexLock Lock(&Mutex);
    StopsAt = At;
  }
  std::optional<monotonic_time> stopsAt() const override {
    absl::MutexLock Lock(&Mutex);
    return StopsAt;
  }
  milliseconds settingsAge() const override {
    return Age.age(Clock.monotonicNow()).value_or(milliseconds::max());
  }
  bool settingsStale() const override {
    return settingsAge() > Reloadable.get().SettingsApplyTime;
  }

private:
  const log_freshness &Age;
  const guarded_value<reloadable_settings> &Reloadable;
  const time_source &Clock;
  mutable absl::Mutex Mutex;
  serving_phase Phase ABSL_GUARDED_BY(Mutex) = serving_phase::Starting;
  std::optional<monotonic_time> StopsAt ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_GATEWAYSTATE_H
