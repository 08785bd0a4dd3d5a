#ifndef BLUEBELLKEEL_SETTINGS_SETTINGRULE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGRULE_H

#include "bluebellkeel/Settings/SettingValue.h"
#include "bluebellkeel/Settings/SettingsPath.h"
#include <string>

namespace bluebellkeel {

/// The validation rule for one kind of setting, with its help text. The
/// settings reference for operators lists these rules.
class setting_rule {
public:
  enum class kind { Flag, Fraction, Amount, Name, Choice, NameList };

  setting_rule(std::string Pattern, kind Kind, setting_value::text_list Choices,
               std::string Help)
      : Pattern(std::move(Pattern)), Kind(Kind), Choices(std::move(Choices)),
        Help(std::move(Help)) {}

  /// Returns the path pattern. `*` matches one segment, which is a name that
  /// operators choose.
  const std::string &pattern() const { return Pattern; }
  const std::string &help() const { return Help; }

  bool matches(const settings_path &Path) const;
  bool admits(const setting_value &Value) const;
  /// Returns a description of the admitted values for error messages.
  std::string expected() const;

private:
  std::string Pattern;
  kind Kind;
  setting_value::text_list Choices;
  std::string Help;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGRULE_H
