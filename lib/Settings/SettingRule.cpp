#include "bluebellkeel/Settings/SettingRule.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include <algorithm>

using namespace bluebellkeel;

bool setting_rule::matches(const settings_path &Path) const {
  std::vector<std::string> Parts =
      absl::StrSplit(absl::string_view(Pattern).substr(1), '/');
  const auto &Segments = Path.segments();
  if (Parts.size() != Segments.size())
    return false;
  return std::equal(Parts.begin(), Parts.end(), Segments.begin(),
                    [](const std::string &Part, const std::string &Segment) {
                      return Part == "*" || Part == Segment;
                    });
}

static bool inRange(const setting_value &Value, double Low, double High) {
  const double *Number = Value.asNumber();
  return Number && *Number >= Low && *Number <= High;
}

bool setting_rule::admits(const setting_value &Value) const {
  constexpr double MaxAmount = 1e9;
  const std::string *Text = Value.asText();
  switch (Kind) {
  case kind::Flag:
    return Value.asBool() != nullptr;
  case kind::Fraction:
    return inRange(Value, 0, 1);
  case kind::Amount:
    return inRange(Value, 0, MaxAmount);
  case kind::Name:
    return Text && !Text->empty();
  case kind::Choice:
    return Text && std::count(Choices.begin(), Choices.end(), *Text) > 0;
  case kind::NameList:
    return Value.asList() != nullptr;
  }
  return false;
}

std::string setting_rule::expected() const {
  switch (Kind) {
  case kind::Flag:
    return "true or false";
  case kind::Fraction:
    return "a number from 0 to 1";
  case kind::Amount:
    return "a number from 0 to 1000000000";
  case kind::Name:
    return "a text that is not empty";
  case kind::Choice:
    return absl::StrCat("one of ", absl::StrJoin(Choices, ", "));
  case kind::NameList:
    return "a list of texts";
  }
  return "";
}
