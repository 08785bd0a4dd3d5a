#include "SettingsLines.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class settings_lines_test : public testing::Test {
protected:
  static route_table table(api_key_policy ApiKeys) {
    return route_table(7, {}, {}, std::move(ApiKeys));
  }
  static bool contains(const event_line &Line, const std::string &Part) {
    return Line.text().find(Part) != std::string::npos;
  }

  const keyed_record Record{"config", "{}", log_offset(5)};
};

} // namespace

TEST_F(settings_lines_test, applied_withoutAccounts_tellsClosedFromOpen) {
  event_line Closed =
      appliedLine(Record, table(api_key_policy::onlyAccounts({})));
  EXPECT_TRUE(
      contains(Closed, R"("keys_required":true,"accounts":0,"keys":0)"));
  event_line Open = appliedLine(Record, table(api_key_policy::anyCaller()));
  EXPECT_TRUE(contains(Open, R"("keys_required":false)"));
}

TEST_F(settings_lines_test, applied_emptyKey_isNotCounted) {
  api_key_account Account(account_id("mill"), {"", "k"}, std::nullopt);
  event_line Line =
      appliedLine(Record, table(api_key_policy::onlyAccounts({Account})));
  EXPECT_TRUE(contains(Line, R"("version":7,"offset":5)"));
  EXPECT_TRUE(contains(Line, R"("accounts":1,"keys":1)"));
}

TEST_F(settings_lines_test, skippedConfiguration_namesTheOneInForce) {
  route_table InForce = table(api_key_policy::anyCaller());
  EXPECT_TRUE(contains(skippedLine(Record, "why", &InForce),
                       R"("why":"why","in_force":7)"));
  EXPECT_FALSE(contains(skippedLine(Record, "why", nullptr), "in_force"));
}
