#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSTATEMACHINE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSTATEMACHINE_H

#include "bluebellkeel/Settings/ChangeOutcome.h"
#include "bluebellkeel/Settings/SettingsChange.h"
#include "bluebellkeel/Settings/SettingsState.h"

namespace bluebellkeel {

/// Applies the changes in the log to the settings, one after the other.
class settings_state_machine {
public:
  settings_state_machine() = default;
  explicit settings_state_machine(settings_state State)
      : State(std::move(State)) {}

  const settings_state &state() const { return State; }

  /// Applies the change at \p Offset and returns its outcome. The verdict
  /// depends only on the state and the change, so every instance that reads the
  /// log reaches the same verdict. The state stays unchanged if \p Offset is
  /// already applied.
  change_outcome apply(log_offset Offset, const settings_change &Change);

  /// Advances past the record at \p Offset, which changes no setting.
  void skip(log_offset Offset);

private:
  change_outcome decide(log_offset Offset, const settings_change &Change) const;

  settings_state State;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSTATEMACHINE_H
