#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSTORE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSTORE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Settings/ChangeOutcome.h"
#include "bluebellkeel/Settings/RoutingSettings.h"
#include "bluebellkeel/Settings/SettingsChange.h"
#include "bluebellkeel/Settings/SettingsStateMachine.h"
#include <deque>
#include <memory>
#include <optional>

namespace bluebellkeel {

/// The settings in force on this instance. The applied offset never decreases.
/// Thread-safe.
class settings_store {
public:
  using state_ptr = std::shared_ptr<const settings_state>;
  using routing_ptr = std::shared_ptr<const routing_settings>;

  settings_store();

  state_ptr state() const;
  routing_ptr routing() const;

  /// Applies the change at \p Offset of the log. Does nothing if the offset is
  /// already applied.
  void apply(log_offset Offset, const settings_change &Change);
  /// Advances past the record at \p Offset without a change of settings.
  void skip(log_offset Offset);
  /// Replaces all settings by \p State if its applied offset is greater than
  /// the current one. Returns false if it is not.
  bool replaceIfNewer(const settings_state &State);

  /// Returns the outcome of a recent change, or std::nullopt if the change has
  /// not been applied yet or its outcome is no longer in the history.
  std::optional<change_outcome> outcomeOf(const std::string &ChangeId) const;
  /// Returns the outcomes of recent changes, oldest first.
  std::vector<change_outcome> history() const;

private:
  static constexpr std::size_t MaxHistory = 1024;

  void publish() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  mutable absl::Mutex Mutex;
  settings_state_machine StateMachine ABSL_GUARDED_BY(Mutex);
  state_ptr State ABSL_GUARDED_BY(Mutex);
  routing_ptr Routing ABSL_GUARDED_BY(Mutex);
  std::deque<change_outcome> History ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSTORE_H
