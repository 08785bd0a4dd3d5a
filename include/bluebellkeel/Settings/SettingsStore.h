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

/// The settings in force on this instance. Never goes back to an offset below
/// one that it has applied.
class settings_store {
public:
  using state_ptr = std::shared_ptr<const settings_state>;
  using routing_ptr = std::shared_ptr<const routing_settings>;

  settings_store();

  state_ptr state() const;
  routing_ptr routing() const;

  /// Takes the change at \p Offset of the log.
  void apply(log_offset Offset, const settings_change &Change);
  /// Passes over the record at \p Offset.
  void skip(log_offset Offset);
  /// Takes a whole state, unless it is older than what is in force.
  bool replaceIfNewer(const settings_state &State);

  /// The verdict on a recent change, once the fold has reached it.
  std::optional<change_outcome> outcomeOf(const std::string &ChangeId) const;
  /// Recent verdicts, oldest first.
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
