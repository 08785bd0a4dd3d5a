#ifndef BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTATE_H
#define BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTATE_H

#include "ServingStage.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/SettingsFollower.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Relay/ServingGate.h"
#include "bluebellkeel/Settings/SettingsStore.h"
#include <atomic>

namespace bluebellkeel {

/// Decides whether this instance accepts new work. The decision is computed on
/// each call, so that a process that was paused does not act on a stale
/// decision.
class serving_state final : public serving_gate {
public:
  /// Time for which this instance redirects callers before it refuses them.
  /// Callers may use a list of addresses that contains it for that long.
  static constexpr milliseconds RedirectDuration =
      address_selector::Lifetime + milliseconds(500);

  serving_state(data_centre_id LocalCentre, const time_source &Clock,
                const settings_store &Settings,
                const settings_follower &Follower,
                const instance_directory &Instances, peer_table &Peers,
                freshness_evaluator Evaluator);

  std::optional<refusal_reason> refusalReason() const override;

  serving_verdict verdict() const;
  /// Returns the maximum age of the settings in force; empty if unknown.
  std::optional<milliseconds> settingsAge() const;
  /// False if callers should use other instances.
  bool serving() const;

  /// Records when the local data centre went out of service. Must be called
  /// after each read of the settings, so that the time starts even without
  /// requests.
  void onSettingsRead() const { (void)localCentreOutOfServiceTooLong(); }

  void setStage(serving_stage NewStage) { Stage = NewStage; }

private:
  bool localCentreOutOfServiceTooLong() const;
  settings_position settingsPosition() const;

  data_centre_id LocalCentre;
  const time_source &Clock;
  const settings_store &Settings;
  const settings_follower &Follower;
  const instance_directory &Instances;
  peer_table &Peers;
  freshness_evaluator Evaluator;
  std::atomic<serving_stage> Stage{serving_stage::Open};
  mutable absl::Mutex Mutex;
  /// When the local data centre was first seen out of service; empty while it
  /// is in service.
  mutable std::optional<monotonic_time>
      LocalCentreOutOfServiceSince ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTATE_H
