#include "Deployment.h"
#include <algorithm>
#include <csignal>

using namespace bluebellkeel;

using nlohmann::json;

/// Time after which a removed data centre, upstream or instance must get no new
/// work.
static constexpr seconds NoNewWorkAfter{5};

namespace {
class membership_test : public deployment {
protected:
  bool offersAddress(int Asked, int Named) {
    json Addresses = get(instance(Asked), "/v1/addresses")["addresses"];
    return std::count(Addresses.begin(), Addresses.end(),
                      json(instance(Named).text())) > 0;
  }

  /// True if none of 20 responses contains the address of instance \p Named.
  bool neverOffersAddress(int Asked, int Named) {
    for (int Round = 0; Round < 20; ++Round) {
      if (offersAddress(Asked, Named))
        return false;
    }
    return true;
  }

  void sendChats(int Count) {
    auto Caller = callerOf(1);
    for (int Index = 0; Index < Count; ++Index)
      EXPECT_EQ(
          request_outcome::Whole,
          Caller.chat("auto", "hello", 4, true, "r" + std::to_string(Index), "")
              .End);
  }

  std::uint64_t startedAt(int Engine) {
    return get(engine(Engine), "/stats").value("started", std::uint64_t(0));
  }
};
} // namespace

TEST_F(membership_test, dataCentreTakenOut_getsNoNewWorkAfterFiveSeconds) {
  sendChats(4);
  ASSERT_EQ("accepted",
            change(PlatformKey, 1, {{"/platform/data-centres/a/state", "out"}})
                .value("verdict", ""));
  sleepFor(NoNewWorkAfter);
  // Engines 0 and 3 and instance 0 are in data centre a.
  std::uint64_t Before = startedAt(0) + startedAt(3);
  sendChats(12);
  EXPECT_EQ(Before, startedAt(0) + startedAt(3));
  EXPECT_TRUE(neverOffersAddress(1, 0));
  auto Refused = sendChat(0, "x");
  EXPECT_EQ("data_centre_out", Refused.Reason);
  EXPECT_EQ(request_outcome::NotRun, Refused.End);
  change(PlatformKey, 1, {{"/platform/data-centres/a/state", "in"}});
  EXPECT_TRUE(waitFor([&] { return ready(0); }, seconds(10)));
}

TEST_F(membership_test, leavingUpstream_getsNoNewWorkAfterFiveSeconds) {
  sendChats(4);
  listEngine(0, "leaving");
  sleepFor(NoNewWorkAfter);
  std::uint64_t Before = startedAt(0);
  sendChats(12);
  EXPECT_EQ(Before, startedAt(0));
}

TEST_F(membership_test, pausedInstance_isNoLongerOffered) {
  ASSERT_TRUE(waitFor([&] { return offersAddress(0, 2); }, seconds(20)));
  Instances[2]->signal(SIGSTOP);
  EXPECT_TRUE(
      waitFor([&] { return neverOffersAddress(0, 2); }, NoNewWorkAfter));
  Instances[2]->signal(SIGCONT);
  EXPECT_TRUE(waitFor([&] { return offersAddress(0, 2); }, seconds(20)));
}

TEST_F(membership_test, ownerKilled_upstreamsServeAgain) {
  sendChats(2);
  killInstance(0);
  auto Caller = callerOf(1);
  EXPECT_TRUE(waitFor(
      [&] {
        return Caller.chat("auto", "hello", 4, true, "again", "").End ==
               request_outcome::Whole;
      },
      seconds(15)));
}
