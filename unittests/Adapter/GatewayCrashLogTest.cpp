#include "GatewayFixture.h"
#include "RequestReader.h"
#include "bluebellkeel/Relay.h"

using namespace bluebellkeel;

namespace {

/// A gateway that starts while the store holds blocked requests.
class gateway_crash_log_test : public gateway_process_test {
protected:
  static fingerprint fingerprintOfCall(const std::string &Kind) {
    return fingerprintOf(readRequest(request(Kind), monotonic_time()),
                         account_id("mill"));
  }
  /// Puts a record of crashes of three upstreams \p Age ago.
  void putCrashes(const std::string &Kind, seconds Age) {
    auto At = std::chrono::duration_cast<milliseconds>(
                  (std::chrono::system_clock::now() - Age).time_since_epoch())
                  .count();
    json Crashes = json::array();
    for (const char *Upstream : {"a", "b", "c"})
      Crashes.push_back({{"upstream", Upstream}, {"at", At}});
    Store.put("keyed.crashes", fingerprintOfCall(Kind).text(),
              json({{"crashes", Crashes}}).dump());
  }
  void restart() {
    Gateway.reset();
    Gateway = std::make_unique<gateway_process>(settings());
    EXPECT_TRUE(Gateway->start().has_value());
    EXPECT_TRUE(waitFor([this] { return readyStatus() == 200; }));
  }
};

} // namespace

// Guards against requests that crash upstreams again after all gateways were
// killed at once.
TEST_F(gateway_crash_log_test, blockInTheStore_isInForceOnceReady) {
  putCrashes("idempotent", seconds(5));
  restart();
  EXPECT_EQ(502, call("idempotent")->status());
  EXPECT_EQ(0, requests());
  EXPECT_EQ(200, call("non_idempotent")->status());
}

TEST_F(gateway_crash_log_test, expiredBlockInTheStore_isNotInForce) {
  putCrashes("idempotent", seconds(601));
  restart();
  EXPECT_EQ(200, call("idempotent")->status());
}

// Guards against a gateway that ends or never serves because of one odd record.
TEST_F(gateway_crash_log_test, oddRecords_areSkipped) {
  for (const char *Value :
       {"no json", "[]", R"({"crashes":{}})", R"({"crashes":[1]})",
        R"({"crashes":[{"upstream":"a","at":-1}]})",
        R"({"crashes":[{"upstream":"a","at":18446744073709551615}]})"})
    Store.put("keyed.crashes", std::string("key ") + Value, Value);
  putCrashes("idempotent", seconds(5));
  restart();
  EXPECT_EQ(502, call("idempotent")->status());
}

// Guards against a gateway that never serves because it waits for the blocks.
TEST_F(gateway_crash_log_test, blocksCannotBeRead_gatewayServes) {
  Store.refuseReads("keyed.crashes");
  restart();
  EXPECT_EQ(200, call("idempotent")->status());
}
