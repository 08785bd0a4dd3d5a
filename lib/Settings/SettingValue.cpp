#include "bluebellkeel/Settings/SettingValue.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

using namespace bluebellkeel;

std::string setting_value::describe() const {
  if (const bool *Flag = asBool())
    return *Flag ? "true" : "false";
  if (const double *Number = asNumber())
    return absl::StrCat(*Number);
  if (const std::string *Text = asText())
    return absl::StrCat("\"", *Text, "\"");
  return absl::StrCat("[", absl::StrJoin(*asList(), ", "), "]");
}
