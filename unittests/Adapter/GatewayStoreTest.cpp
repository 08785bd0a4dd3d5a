#include "GatewayFixture.h"

using namespace bluebellkeel;

TEST_F(gateway_process_test, newConfiguration_takesEffectWithinTwoSeconds) {
  putConfiguration(3, 10000, {"other"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
  EXPECT_EQ(200, call("idempotent", "other")->status());
}

TEST_F(gateway_process_test,
       waitingReadNeverAnswered_newConfigurationTakesEffectWithinTwoSeconds) {
  // Ensures that the read of the settings is waiting.
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(300));
  Store.dropWaitingReads("keyed.op");
  putConfiguration(3, 10000, {"other"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test,
       waitingReadNeverAnswered_leavingUpstreamsGetNoRequestsAfterTwoSeconds) {
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(300));
  Store.dropWaitingReads("keyed.servers");
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test,
       waitingReadNeverAnswered_removedUpstreamsGetNoRequestsAfterTwoSeconds) {
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(300));
  Store.dropWaitingReads("keyed.servers");
  Store.put("keyed.servers", "u1", "");
  Store.put("keyed.servers", "u2", "");
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test, topicCompactedWhileStoreIsBusy_changeTakesEffect) {
  Store.setFault(store_standin::fault::Busy);
  putConfiguration(3, 10000, {"other"});
  Store.compact("keyed.op");
  Store.setFault(store_standin::fault::None);
  EXPECT_TRUE(
      waitFor([this] { return call("idempotent", "other")->status() == 200; }));
}

TEST_F(gateway_process_test,
       storeRestoredFromCopy_newConfigurationTakesEffectWithinTwoSeconds) {
  auto Copy = Store.takeCopy();
  putConfiguration(3, 10000, {"key", "second"});
  putConfiguration(4, 10000, {"key", "third"});
  EXPECT_TRUE(
      waitFor([this] { return call("idempotent", "third")->status() == 200; }));
  Store.restore(Copy);
  putConfiguration(4, 10000, {"key", "third"});
  EXPECT_EQ(200, call("idempotent", "third")->status());
  putConfiguration(7, 10000, {"other"});
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test, storeRestoredFromCopy_olderSettingsAreNotInForce) {
  auto Copy = Store.takeCopy();
  putConfiguration(3, 10000, {"other"});
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  Store.restore(Copy);
  absl::Notification Never;
  for (int I = 0; I < 30; ++I) {
    EXPECT_EQ(401, call("idempotent")->status());
    Never.WaitForNotificationWithTimeout(absl::Milliseconds(100));
  }
}

TEST_F(gateway_process_test,
       storeRestoredFromCopy_laterRegistrationsTakeEffectWithinTwoSeconds) {
  auto Copy = Store.takeCopy();
  for (int Sequence = 2; Sequence < 9; ++Sequence) {
    Store.put("keyed.servers", "u1", registration(1, "ready", Sequence));
    Store.put("keyed.servers", "u2", registration(2, "ready", Sequence));
  }
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(500));
  Store.restore(Copy);
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(500));
  Store.put("keyed.servers", "u1", registration(1, "draining", 10));
  Store.put("keyed.servers", "u2", registration(2, "draining", 10));
  auto Start = std::chrono::steady_clock::now();
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_LT(std::chrono::steady_clock::now() - Start, milliseconds(2000));
}

TEST_F(gateway_process_test, storeRestoredFromCopy_instanceRegistersAgain) {
  auto Registered = [this] {
    return !Store.newest("keyed.instances", "edge-1").empty();
  };
  EXPECT_TRUE(waitFor(Registered));
  auto Copy = Store.takeCopy();
  Copy.erase("keyed.instances");
  Store.restore(Copy);
  EXPECT_FALSE(Registered());
  EXPECT_TRUE(waitFor(Registered));
}

TEST_F(gateway_process_test,
       storeRestoredFromCopy_readsThatFailAreNotRepeatedAtOnce) {
  auto Copy = Store.takeCopy();
  Store.refuseReads("keyed.instances");
  Store.restore(Copy);
  putConfiguration(3, 10000, {"other"});
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 401; }));
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Milliseconds(1500));
  int Before = Store.calls();
  Never.WaitForNotificationWithTimeout(absl::Seconds(2));
  // Two long polls, each followed by another at least 0.1 s later.
  EXPECT_LE(Store.calls() - Before, 2 * 20);
}

TEST_F(gateway_process_test, oddRegistrationOfAnotherWriter_othersAreFollowed) {
  auto RegistrationWith = [](const std::string &From, const std::string &To) {
    std::string Text = registration(1, "ready", 1);
    return Text.replace(Text.find(From), From.size(), To);
  };
  for (const std::string &Odd :
       {std::string(100000, '['), std::string("\xff\xfe\x00", 3),
        RegistrationWith("\"seq\":1", "\"seq\":18446744073709551615"),
        RegistrationWith(address(1).text(), address(1).host() + ":99999")})
    Store.put("keyed.servers", "odd", Odd);
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  EXPECT_EQ(200, readyStatus());
}

TEST_F(gateway_process_test, oddKeyOfAnotherWriter_restoredListIsReadWhole) {
  auto Copy = Store.takeCopy();
  Store.setPageSize(1);
  Store.restore(Copy);
  Store.put("keyed.servers", "odd key&topic=keyed.op#%41\r\n?", "odd");
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
}

TEST_F(gateway_process_test, storeUnavailable_instanceKeepsServing) {
  Store.setFault(store_standin::fault::Busy);
  EXPECT_EQ(200, call("idempotent")->status());
  EXPECT_EQ(200, readyStatus());
}

TEST_F(gateway_process_test, leavingUpstreams_getNoNewRequests) {
  Store.put("keyed.servers", "u1", registration(1, "draining", 2));
  Store.put("keyed.servers", "u2", registration(2, "draining", 2));
  EXPECT_TRUE(waitFor([this] { return call("idempotent")->status() == 503; }));
  int Before = requests();
  call("idempotent");
  EXPECT_EQ(Before, requests());
}

TEST_F(gateway_process_test, completedRollOut_statusIsAppendedToTheLog) {
  Store.put("keyed.op", "rollout/desk",
            R"({"service":"desk","target":"v2","duration_s":1})");
  EXPECT_TRUE(waitFor([this] {
    return Store.newest("keyed.status", "rollout/desk").find("complete") !=
           std::string::npos;
  }));
}

TEST_F(gateway_process_test,
       statusAppendResponseLost_statusIsNotAppendedAgain) {
  Store.setFault(store_standin::fault::AnswersLost);
  Store.put("keyed.op", "rollout/desk",
            R"({"service":"desk","target":"v2","duration_s":600})");
  EXPECT_TRUE(waitFor([this] {
    return !Store.newest("keyed.status", "rollout/desk").empty();
  }));
  Store.setFault(store_standin::fault::None);
  absl::Notification Never;
  Never.WaitForNotificationWithTimeout(absl::Seconds(1));
  int Before = Store.calls();
  Never.WaitForNotificationWithTimeout(absl::Seconds(1));
  // Once the log holds the status, the publisher does not append it again.
  EXPECT_LE(Store.calls() - Before, 2);
}
