#ifndef BLUEBELLKEEL_SETTINGS_SETTINGEDIT_H
#define BLUEBELLKEEL_SETTINGS_SETTINGEDIT_H

#include "bluebellkeel/Settings/SettingValue.h"
#include "bluebellkeel/Settings/SettingsPath.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// An edit of one setting: sets its value, or removes the setting if the value
/// is empty.
class setting_edit : public comparable<setting_edit> {
public:
  setting_edit() = default;
  setting_edit(settings_path Path, std::optional<setting_value> Value)
      : Path(std::move(Path)), Value(std::move(Value)) {}

  const settings_path &path() const { return Path; }
  const std::optional<setting_value> &value() const { return Value; }
  auto key() const { return std::tie(Path, Value); }

private:
  settings_path Path;
  std::optional<setting_value> Value;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGEDIT_H
