#ifndef BLUEBELLKEEL_SETTINGS_SETTINGSSCHEMA_H
#define BLUEBELLKEEL_SETTINGS_SETTINGSSCHEMA_H

#include "bluebellkeel/Settings/SettingEdit.h"
#include "bluebellkeel/Settings/SettingRule.h"
#include "bluebellkeel/Settings/SettingsError.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Returns all rules that settings are validated against.
const std::vector<setting_rule> &settingRules();

/// Returns the error in \p Edit, or std::nullopt if it is valid. An edit that
/// removes a setting only needs a known path.
std::optional<settings_error> checkEdit(const setting_edit &Edit);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGSSCHEMA_H
