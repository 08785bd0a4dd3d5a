#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSCHEMA_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSCHEMA_H

#include "bluebellkeel/Settings/SettingEdit.h"
#include "bluebellkeel/Settings/SettingRule.h"
#include "bluebellkeel/Settings/SettingsError.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// All rules that settings are checked against.
const std::vector<setting_rule> &settingRules();

/// The fault of \p Edit, if it has one. Removing needs a known path only.
std::optional<settings_error> checkEdit(const setting_edit &Edit);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSCHEMA_H
