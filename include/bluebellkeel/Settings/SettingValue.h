#ifndef BLUEBELLKEEL_SETTINGS_SETTINGVALUE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGVALUE_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bluebellkeel {

/// The value of one setting: a yes or no, a number, a text, or a list of texts.
class setting_value : public comparable<setting_value> {
public:
  using text_list = std::vector<std::string>;
  using variant = std::variant<bool, double, std::string, text_list>;

  setting_value() = default;
  explicit setting_value(variant Held) : Held(std::move(Held)) {}

  const variant &held() const { return Held; }
  const bool *asBool() const { return std::get_if<bool>(&Held); }
  const double *asNumber() const { return std::get_if<double>(&Held); }
  const std::string *asText() const { return std::get_if<std::string>(&Held); }
  const text_list *asList() const { return std::get_if<text_list>(&Held); }

  /// The value as an error message shows it.
  std::string describe() const;

  const variant &key() const { return Held; }

private:
  variant Held = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGVALUE_H
