#include "bluebellkeel/Settings.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class routing_settings_test : public testing::Test {
protected:
  void put(const char *Path, setting_value::variant Value) {
    Values[*settings_path::parse(Path)] = setting_value(std::move(Value));
  }
  routing_settings routing() const {
    return routing_settings(settings_state(log_offset(7), Values, {}));
  }

  settings_state::value_map Values;
};
} // namespace

TEST_F(routing_settings_test, account_withApiKey_isFoundByKey) {
  put("/t/accounts/a/api-key", std::string("secret"));
  put("/t/accounts/a/versions", setting_value::text_list{"m@1", "m@2"});
  put("/t/accounts/a/quality-target", 0.9);
  auto Settings = routing();
  const auto *Account = Settings.accountByApiKey("secret");
  ASSERT_NE(nullptr, Account);
  EXPECT_EQ(account_id("a"), Account->id());
  EXPECT_EQ(1U, Account->versions().count(version_id("m@2")));
  EXPECT_EQ(0.9, Account->qualityTarget());
  EXPECT_EQ(nullptr, Settings.accountByApiKey("other"));
}

TEST_F(routing_settings_test, accountByApiKey_settingsWithoutKeys_findsNone) {
  EXPECT_EQ(nullptr, routing_settings().accountByApiKey(""));
  EXPECT_EQ(nullptr, routing().accountByApiKey("secret"));
  put("/t/accounts/a/versions", setting_value::text_list{"m@1"});
  EXPECT_EQ(nullptr, routing().accountByApiKey(""));
  EXPECT_EQ(nullptr, routing().accountByApiKey("secret"));
}

TEST_F(routing_settings_test, version_withoutStage_isHeld) {
  put("/t/versions/m@1/cost", 3.0);
  auto Settings = routing();
  EXPECT_EQ(version_stage::Held, Settings.version(version_id("m@1"))->stage());
}

TEST_F(routing_settings_test, operation_notInSettings_isNull) {
  put("/t/services/desk/operations/stock/idempotent", true);
  auto Settings = routing();
  EXPECT_TRUE(Settings.operation(service_id("desk"), "stock")->idempotent());
  EXPECT_EQ(nullptr, Settings.operation(service_id("desk"), "place"));
}

TEST_F(routing_settings_test, dataCentre_withStateOut_isOutOfService) {
  put("/platform/data-centres/x/state", std::string("out"));
  put("/platform/data-centres/y/state", std::string("in"));
  EXPECT_TRUE(routing().isOutOfService(data_centre_id("x")));
  EXPECT_FALSE(routing().isOutOfService(data_centre_id("y")));
}
