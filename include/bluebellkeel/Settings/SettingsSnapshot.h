#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSNAPSHOT_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSNAPSHOT_H

#include "bluebellkeel/Settings/SettingsState.h"

namespace bluebellkeel {

/// A copy of the whole settings state that is written to the log before
/// retention removes the changes that led to the state.
class settings_snapshot : public comparable<settings_snapshot> {
public:
  settings_snapshot() = default;
  explicit settings_snapshot(settings_state State) : State(std::move(State)) {}

  const settings_state &state() const { return State; }
  const settings_state &key() const { return State; }

private:
  settings_state State;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSNAPSHOT_H
