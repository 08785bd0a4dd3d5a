#include "bluebellkeel/Startup.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class gateway_settings_test : public testing::Test {
protected:
  static std::string withReplacement(const std::string &From,
                                     const std::string &To) {
    std::string Text = ValidSettings;
    Text.replace(Text.find(From), From.size(), To);
    return Text;
  }

  static constexpr const char *ValidSettings = R"(// a comment
{"instance": "edge-1", "data_centre": "north", "log": "10.0.0.1:1",
 "listen": {"callers": "10.0.0.2:1", "ready": "10.0.0.2:2",
   "directory": "10.0.0.2:3", "peers": "10.0.0.2:4", "metrics": "10.0.0.2:5"},
 "peers": {"seeds": ["10.0.0.3:4"], "key": "sixteen characters"},
 "rules": {"retry_ratio": 0.9, "retry_slack": 56, "retry_window_s": 10,
   "trial_share": 0.15, "grace_s": 8,
   "advice_life_s": 5},
 "memory_mb": 88})";
};

} // namespace

TEST_F(gateway_settings_test, validFile_isRead) {
  auto Settings = readGatewaySettings(ValidSettings);
  ASSERT_TRUE(Settings.has_value());
  EXPECT_EQ("edge-1", Settings->Instance.text());
  EXPECT_EQ(88UL << 20, Settings->Memory);
  EXPECT_EQ(1U, Settings->Reloadable.Seeds.size());
  EXPECT_EQ("info", Settings->LogLevel);
}

TEST_F(gateway_settings_test, applyTimes_areOptionalAndChecked) {
  auto Settings = readGatewaySettings(ValidSettings);
  ASSERT_TRUE(Settings.has_value());
  EXPECT_EQ(milliseconds(2000), Settings->Reloadable.SettingsApplyTime);
  auto Changed = readGatewaySettings(withReplacement(
      "\"grace_s\": 8", "\"grace_s\": 8, \"settings_apply_ms\": 3000, "
                        "\"upstreams_apply_ms\": 4000"));
  ASSERT_TRUE(Changed.has_value());
  EXPECT_EQ(milliseconds(3000), Changed->Reloadable.SettingsApplyTime);
  EXPECT_EQ(milliseconds(4000), Changed->Reloadable.UpstreamsApplyTime);
  for (const char *TooShort : {"0", "1499"})
    EXPECT_FALSE(readGatewaySettings(withReplacement(
        "\"grace_s\": 8",
        "\"grace_s\": 8, \"settings_apply_ms\": " + std::string(TooShort))));
}

TEST_F(gateway_settings_test, renewInterval_isOptionalAndChecked) {
  auto WithInterval = [](const std::string &Value) {
    return readGatewaySettings(withReplacement(
        "\"grace_s\": 8", "\"grace_s\": 8, \"upstreams_renew_ms\": " + Value));
  };
  auto Settings = readGatewaySettings(ValidSettings);
  ASSERT_TRUE(Settings.has_value());
  EXPECT_EQ(milliseconds(1200), Settings->Reloadable.UpstreamsRenewInterval);
  Settings = WithInterval("500");
  ASSERT_TRUE(Settings.has_value());
  EXPECT_EQ(milliseconds(500), Settings->Reloadable.UpstreamsRenewInterval);
  EXPECT_FALSE(WithInterval("0"));
}

TEST_F(gateway_settings_test, duties_areOptionalAndChecked) {
  auto WithDuties = [](const std::string &Duties) {
    return readGatewaySettings(withReplacement(
        "\"memory_mb\"", "\"duties\": {" + Duties + "}, \"memory_mb\""));
  };
  EXPECT_FALSE(readGatewaySettings(ValidSettings)->Duties);
  auto Settings = WithDuties("\"address\": \"10.0.0.9:1\", "
                             "\"lease_ms\": 2000, \"usage_window_ms\": 5000, "
                             "\"usage_delay_ms\": 10000");
  ASSERT_TRUE(Settings.has_value());
  ASSERT_TRUE(Settings->Duties);
  EXPECT_EQ(milliseconds(2000), Settings->Duties->Lease);
  EXPECT_EQ(milliseconds(5000), Settings->Duties->UsageWindow);
  EXPECT_EQ(milliseconds(10000), Settings->Duties->UsageDelay);
  EXPECT_FALSE(WithDuties("\"lease_ms\": 2000"));
  EXPECT_FALSE(WithDuties("\"address\": \"10.0.0.9:1\", \"lease_ms\": 10"));
  EXPECT_FALSE(WithDuties("\"address\": \"10.0.0.9:1\", \"extra\": 1"));
}

TEST_F(gateway_settings_test, fieldOfAnEarlierRelease_isIgnored) {
  EXPECT_TRUE(readGatewaySettings(
                  withReplacement("\"grace_s\": 8",
                                  "\"grace_s\": 8, \"session_life_s\": 5"))
                  .has_value());
}

TEST_F(gateway_settings_test, invalidFields_areAllReportedWithTheirPaths) {
  auto Settings = readGatewaySettings(
      withReplacement("\"grace_s\": 8", "\"grace_s\": -1, \"extra\": 1"));
  ASSERT_FALSE(Settings.has_value());
  EXPECT_EQ(2U, Settings.error().size());
  EXPECT_NE(std::string::npos,
            Settings.error()[0].message().find("/rules/grace_s"));
}

TEST_F(gateway_settings_test, malformedJson_isOneError) {
  auto Settings = readGatewaySettings("{");
  ASSERT_FALSE(Settings.has_value());
  EXPECT_EQ(1U, Settings.error().size());
}

TEST_F(gateway_settings_test, invalidSeed_isRejected) {
  EXPECT_FALSE(
      readGatewaySettings(withReplacement("\"10.0.0.3:4\"", "\"here\"")));
  EXPECT_FALSE(readGatewaySettings(withReplacement("[\"10.0.0.3:4\"]", "7")));
}
