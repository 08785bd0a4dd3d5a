#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSTATEMACHINE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSTATEMACHINE_H

#include "bluebellkeel/Settings/ChangeOutcome.h"
#include "bluebellkeel/Settings/SettingsChange.h"
#include "bluebellkeel/Settings/SettingsState.h"

namespace bluebellkeel {

/// A state and what was decided on the way to it.
class settings_state_machine {
public:
  settings_state_machine() = default;
  explicit settings_state_machine(settings_state State)
      : State(std::move(State)) {}

  const settings_state &state() const { return State; }

  /// Takes the change at \p Offset. The verdict depends on the state and the
  /// change alone, so every instance that reads the log reaches the same one.
  /// An offset that is not past the applied one changes nothing.
  change_outcome apply(log_offset Offset, const settings_change &Change);

  /// Passes over a record at \p Offset that changes no setting.
  void skip(log_offset Offset);

private:
  change_outcome decide(log_offset Offset, const settings_change &Change) const;

  settings_state State;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSTATEMACHINE_H
