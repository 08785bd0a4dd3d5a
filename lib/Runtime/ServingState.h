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

/// Whether this instance takes new work. It is worked out anew for each
/// question, so that a process that was paused does not go by what it knew
/// before.
class serving_state final : public serving_gate {
public:
  /// Callers may hold advice that names this instance for that long.
  static constexpr milliseconds RedirectDuration =
      address_selector::Lifetime + milliseconds(500);

  serving_state(data_centre_id Home, const time_source &Clock,
                const settings_store &Settings,
                const settings_follower &Follower,
                const instance_directory &Instances, peer_table &Peers,
                freshness_evaluator Evaluator);

  std::optional<refusal_reason> refusalReason() const override;

  serving_verdict verdict() const;
  /// How old the settings in force are at most; empty for not known.
  std::optional<milliseconds> settingsAge() const;
  /// False when callers shall go elsewhere.
  bool serving() const;

  /// Notes when the home data centre went out; to be called whenever settings
  /// were read, so that the time runs even while nobody asks.
  void onSettingsRead() const { (void)homeOutOfServiceTooLong(); }

  void setStage(serving_stage NewStage) { Stage = NewStage; }

private:
  bool homeOutOfServiceTooLong() const;
  settings_position settingsPosition() const;

  data_centre_id Home;
  const time_source &Clock;
  const settings_store &Settings;
  const settings_follower &Follower;
  const instance_directory &Instances;
  peer_table &Peers;
  freshness_evaluator Evaluator;
  std::atomic<serving_stage> Stage{serving_stage::Open};
  mutable absl::Mutex Mutex;
  /// When the home data centre was first seen to be out.
  mutable std::optional<monotonic_time>
      HomeOutOfServiceSince ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_SERVINGSTATE_H
