#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Several instances that see requests crash upstreams, exchange reports, and
/// start again without their memory.
class request_block_test : public testing::Test {
protected:
  static constexpr std::size_t Limit = 3;

  crash_tracker &instance(std::size_t Index) {
    while (Instances.size() <= Index)
      start(Instances.size());
    return *Instances[Index];
  }
  /// Starts instance \p Index, again if it ran before.
  void start(std::size_t Index) {
    if (Instances.size() <= Index)
      Instances.resize(Index + 1);
    Instances[Index] = std::make_unique<crash_tracker>(Clock, Limit);
  }
  /// \p Running crashes \p Upstreams new upstreams, seen by \p Index.
  void crash(std::size_t Index, const fingerprint &Running,
             std::size_t Upstreams = 1) {
    for (std::size_t I = 0; I < Upstreams; ++I)
      instance(Index).noteCrash(Running,
                                upstream_id("u" + std::to_string(++Crashes)),
                                Clock.monotonicNow());
  }
  void exchange(std::size_t From, std::size_t To) {
    instance(To).merge(instance(From).report());
  }

  manual_clock Clock;
  std::vector<std::unique_ptr<crash_tracker>> Instances;
  int Crashes = 0;
  fingerprint Request{"r"};
};

} // namespace

// Guards against blocks that a rolling restart ends, since peers are told of
// crashes for some seconds only (review/13).
TEST_F(request_block_test, instancesRestartedInTurn_allBlockTheRequest) {
  crash(0, Request, Limit);
  exchange(0, 1);
  for (std::size_t Restarted : {0, 1}) {
    Clock.advance(seconds(12));
    start(Restarted);
    EXPECT_FALSE(instance(Restarted).blocked(Request));
    exchange(1 - Restarted, Restarted);
    EXPECT_TRUE(instance(Restarted).blocked(Request));
  }
}

// Guards against a request that gets a full set of crashes after each restart,
// as those before it were one short of a block.
TEST_F(request_block_test, crashesOneShortOfABlock_outliveARestart) {
  crash(0, Request, Limit - 1);
  Clock.advance(seconds(30));
  exchange(0, 1);
  crash(1, Request);
  EXPECT_TRUE(instance(1).blocked(Request));
}

// Guards against blocks that instances keep alive at each other.
RC_GTEST_FIXTURE_PROP(request_block_test,
                      reportsInAnyOrder_blockEndsWithItsLifetime, ()) {
  constexpr std::size_t Count = 3;
  constexpr int MaxDelayMs = 10000;
  /// A report reaches the last of three instances by way of another one.
  constexpr milliseconds MaxLateness(2 * MaxDelayMs);
  crash(0, Request, Limit);
  milliseconds Elapsed(0);
  constexpr milliseconds Lifetime = crash_tracker::EntryLifetime;
  while (Elapsed < 2 * Lifetime) {
    auto From = *rc::gen::inRange<std::size_t>(0, Count);
    auto To = *rc::gen::inRange<std::size_t>(0, Count);
    milliseconds Delay(*rc::gen::inRange(0, MaxDelayMs));
    auto Report = instance(From).report();
    Clock.advance(Delay);
    instance(To).merge(Report);
    Clock.advance(milliseconds(700));
    Elapsed += Delay + milliseconds(700);
    if (Elapsed <= Lifetime + MaxLateness)
      continue;
    for (std::size_t Index = 0; Index < Count; ++Index)
      RC_ASSERT(!instance(Index).suspected(Request));
  }
}

// Guards against a request that is blocked again by the reports of an instance
// which has not heard of its success.
TEST_F(request_block_test, clearedRequestReportedByAPeer_isClearedThereToo) {
  crash(0, Request, Limit);
  exchange(0, 1);
  exchange(0, 2);
  Clock.advance(seconds(20));
  instance(0).noteSuccess(Request);
  Clock.advance(seconds(60));
  exchange(1, 0);
  EXPECT_FALSE(instance(0).suspected(Request));
  exchange(0, 1);
  EXPECT_FALSE(instance(1).suspected(Request));
  // The instance that cleared it forgets that; the other one tells it.
  start(0);
  exchange(2, 0);
  EXPECT_TRUE(instance(0).blocked(Request));
  exchange(0, 1);
  exchange(1, 0);
  EXPECT_FALSE(instance(0).suspected(Request));
}

TEST_F(request_block_test, newCrashesAfterAClearance_blockAgain) {
  crash(0, Request, Limit);
  instance(0).noteSuccess(Request);
  exchange(0, 1);
  Clock.advance(crash_tracker::SuccessLifetime + seconds(1));
  crash(1, Request, Limit);
  exchange(0, 1);
  EXPECT_TRUE(instance(1).blocked(Request));
}

// Guards against blocks that never fit into a bounded report.
TEST_F(request_block_test, moreBlocksThanAReportHolds_allReachANewInstance) {
  constexpr int Requests = 60;
  for (int I = 0; I < Requests; ++I)
    crash(0, fingerprint(std::to_string(I)), Limit);
  for (int Round = 0; Round < 200; ++Round) {
    EXPECT_LE(instance(0).report().crashes().size(),
              crash_tracker::MaxReported);
    exchange(0, 1);
  }
  for (int I = 0; I < Requests; ++I)
    EXPECT_TRUE(instance(1).blocked(fingerprint(std::to_string(I)))) << I;
}

// Guards against a block that is lost to requests which crashed one upstream.
TEST_F(request_block_test, fullTable_keepsTheBlock) {
  crash(0, Request, Limit);
  Clock.advance(seconds(1));
  for (int I = 0; I < 40000; ++I)
    instance(0).noteCrash(fingerprint(std::to_string(I)), upstream_id("u"),
                          Clock.monotonicNow());
  EXPECT_TRUE(instance(0).blocked(Request));
}
