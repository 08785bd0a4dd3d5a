#include "bluebellkeel/Settings/SettingsSchema.h"

using namespace bluebellkeel;

using kind = setting_rule::kind;

static std::vector<setting_rule> makeRules() {
  return {
      {"/*/accounts/*/api-key", kind::Name, {}, "key that callers present"},
      {"/*/accounts/*/versions",
       kind::NameList,
       {},
       "model versions the client account may use, as model@version"},
      {"/*/accounts/*/services",
       kind::NameList,
       {},
       "plain services the client account may call"},
      {"/*/accounts/*/quality-target",
       kind::Fraction,
       {},
       "share of good answers the client account asks for"},
      {"/*/versions/*/stage",
       kind::Choice,
       {"rolling", "active", "held", "withdrawn"},
       "where the version is in its roll-out"},
      {"/*/versions/*/share",
       kind::Fraction,
       {},
       "largest share of new work a rolling version gets"},
      {"/*/versions/*/cost",
       kind::Amount,
       {},
       "price for 1,000 tokens, in millionths of the currency unit"},
      {"/*/versions/*/quality",
       kind::Fraction,
       {},
       "share of good answers expected before ratings arrive"},
      {"/*/services/*/operations/*/idempotent",
       kind::Flag,
       {},
       "whether a call may be repeated"},
      {"/*/services/*/operations/*/cost",
       kind::Amount,
       {},
       "price of a call, in millionths of the currency unit"},
      {"/platform/data-centres/*/state",
       kind::Choice,
       {"in", "out"},
       "whether the data centre takes new work"},
  };
}

const std::vector<setting_rule> &bluebellkeel::settingRules() {
  static const std::vector<setting_rule> Rules = makeRules();
  return Rules;
}

std::optional<settings_error>
bluebellkeel::checkEdit(const setting_edit &Edit) {
  for (const auto &Rule : settingRules()) {
    if (!Rule.matches(Edit.path()))
      continue;
    if (!Edit.value() || Rule.admits(*Edit.value()))
      return std::nullopt;
    return settings_error(Edit.path().text(), Rule.expected(),
                          Edit.value()->describe());
  }
  return settings_error(Edit.path().text(), "a known setting",
                        "an unknown path");
}
