#include "GatewayFixture.h"

using namespace bluebellkeel;

namespace {

/// Changes the accounts of a gateway whose callers have the key "key" at first.
class gateway_api_key_test : public gateway_process_test {
protected:
  static constexpr int TimeoutMs = 10000;

  void putAccounts(int Version, const json &Accounts) {
    json Table = configurationWithoutAccounts(Version, TimeoutMs);
    Table["tenants"] = Accounts;
    Store.put("keyed.op", "config", Table.dump());
  }
  void restart() {
    Gateway.reset();
    Gateway = std::make_unique<gateway_process>(settings());
    ASSERT_TRUE(Gateway->start().has_value());
  }
  bool awaitStatus(int Status, const std::string &Key) {
    return waitFor([&] { return call("idempotent", Key)->status() == Status; });
  }
  /// Expects that no request runs, whatever its key.
  void expectAllRefused() {
    int Before = requests();
    for (const char *Key : {"key", "stranger", ""}) {
      EXPECT_EQ(401, call("idempotent", Key)->status()) << Key;
      EXPECT_EQ(401, call("non_idempotent", Key)->status()) << Key;
      EXPECT_EQ(401, call("streaming", Key)->status()) << Key;
    }
    EXPECT_EQ(Before, requests());
  }
};

} // namespace

// Guards against requests that run with any key once the last account is gone.
TEST_F(gateway_api_key_test, emptyListOfAccounts_refusesEveryKey) {
  EXPECT_EQ(200, call("idempotent")->status());
  putAccounts(3, json::array());
  EXPECT_TRUE(awaitStatus(401, "key"));
  expectAllRefused();
}

TEST_F(gateway_api_key_test, emptyListOfAccounts_afterRestart_refusesEveryKey) {
  putAccounts(3, json::array());
  restart();
  ASSERT_TRUE(waitFor([this] { return readyStatus() == 200; }));
  expectAllRefused();
}

TEST_F(gateway_api_key_test, accountAfterEmptyList_isAdmitted) {
  putAccounts(3, json::array());
  EXPECT_TRUE(awaitStatus(401, "key"));
  putConfiguration(4, TimeoutMs, {"new"});
  EXPECT_TRUE(awaitStatus(200, "new"));
  EXPECT_EQ(401, call("idempotent")->status());
}

TEST_F(gateway_api_key_test, configurationWithoutAccounts_needsNoKey) {
  Store.put("keyed.op", "config",
            configurationWithoutAccounts(3, TimeoutMs).dump());
  EXPECT_TRUE(awaitStatus(200, "stranger"));
  EXPECT_EQ(200, call("idempotent", "")->status());
  EXPECT_EQ("", lastTenant());
}

TEST_F(gateway_api_key_test, accountsOfWrongKind_keepEarlierConfiguration) {
  putAccounts(3, json());
  putAccounts(4, json("mill"));
  absl::Notification Never;
  for (int I = 0; I < 10; ++I) {
    EXPECT_EQ(200, call("idempotent")->status());
    EXPECT_EQ(401, call("idempotent", "stranger")->status());
    Never.WaitForNotificationWithTimeout(absl::Milliseconds(50));
  }
  putConfiguration(5, TimeoutMs, {"other"});
  EXPECT_TRUE(awaitStatus(200, "other"));
}

TEST_F(gateway_api_key_test, accountsOfWrongKind_afterRestart_serveNobody) {
  putAccounts(3, json());
  restart();
  absl::Notification Never;
  for (int I = 0; I < 10; ++I) {
    EXPECT_EQ(503, call("idempotent")->status());
    EXPECT_EQ(503, readyStatus());
    Never.WaitForNotificationWithTimeout(absl::Milliseconds(50));
  }
  putConfiguration(4, TimeoutMs, {"key"});
  EXPECT_TRUE(awaitStatus(200, "key"));
}

TEST_F(gateway_api_key_test, accountWithEmptyKeyOnly_refusesEveryKey) {
  putConfiguration(3, TimeoutMs, {""});
  EXPECT_TRUE(awaitStatus(401, "key"));
  expectAllRefused();
}
