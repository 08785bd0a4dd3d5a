#ifndef BLUEBELLKEEL_SETTINGS_SETTINGVALUE_H
#define BLUEBELLKEEL_SETTINGS_SETTINGVALUE_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bluebellkeel {

/// The value of one setting: a Boolean, a number, a text or a list of texts.
class setting_value : public comparable<setting_value> {
public:
  using text_list = std::vector<std::string>;
  using variant = std::variant<bool, double, std::string, text_list>;

  setting_value() = default;
  explicit setting_value(variant Value) : Value(std::move(Value)) {}

  const variant &asVariant() const { return Value; }
  const bool *asBool() const { return std::get_if<bool>(&Value); }
  const double *asNumber() const { return std::get_if<double>(&Value); }
  const std::string *asText() const { return std::get_if<std::string>(&Value); }
  const text_list *asList() const { return std::get_if<text_list>(&Value); }

  /// Returns the value in the form used in error messages.
  std::string describe() const;

  const variant &key() const { return Value; }

private:
  variant Value = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SETTINGVALUE_H
