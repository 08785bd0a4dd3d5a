#include "bluebellkeel/Settings.h"
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace bluebellkeel;

namespace {
/// The operators' reference must say what the daemon checks.
class settings_reference_test : public testing::Test {
protected:
  static std::string rowOf(const setting_rule &Rule) {
    return "| `" + Rule.pattern() + "` | " + Rule.expected() + " | " +
           Rule.help() + " |";
  }
};
} // namespace

TEST_F(settings_reference_test, page_andSchema_agree) {
  std::ifstream File(SETTINGS_REFERENCE);
  std::stringstream Page;
  Page << File.rdbuf();
  for (const auto &Rule : settingRules())
    EXPECT_NE(std::string::npos, Page.str().find(rowOf(Rule))) << rowOf(Rule);
}
