#include "bluebellkeel/Settings.h"
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace bluebellkeel;

namespace {
/// Checks that the settings reference for operators matches the rules that the
/// daemon enforces.
class settings_reference_test : public testing::Test {
protected:
  static std::string rowOf(const setting_rule &Rule) {
    return "| `" + Rule.pattern() + "` | " + Rule.expected() + " | " +
           Rule.help() + " |";
  }
};
} // namespace

TEST_F(settings_reference_test, referencePage_listsEveryRule) {
  std::ifstream File(SETTINGS_REFERENCE);
  std::stringstream Page;
  Page << File.rdbuf();
  for (const auto &Rule : settingRules())
    EXPECT_NE(std::string::npos, Page.str().find(rowOf(Rule))) << rowOf(Rule);
}
