#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <deque>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// Instances that refuse requests under the same block.
class block_trials_test : public testing::Test {
protected:
  explicit block_trials_test(int Count = 9) {
    for (int I = 0; I < Count; ++I)
      Ids.emplace_back("edge-" + std::to_string(I));
    restart();
  }

  /// Starts all instances without memory.
  void restart() {
    Trials.clear();
    for (const auto &Id : Ids)
      Trials.emplace_back(Id, Clock);
  }

  /// Each instance refuses one request; returns how many are trials.
  int refuseEverywhere(const crash_block &Block) {
    int Admitted = 0;
    for (auto &Instance : Trials)
      Admitted += Instance.admit(Block, Ids) ? 1 : 0;
    return Admitted;
  }
  int refuseEverywhere(const std::string &Block = "part d") {
    return refuseEverywhere(crash_block(Block));
  }
  /// Requests come each second at each instance; returns the trials.
  int refuseFor(int Seconds, const std::string &Block = "part d") {
    int Admitted = 0;
    for (int I = 0; I < Seconds; ++I) {
      Admitted += refuseEverywhere(Block);
      Clock.advance(seconds(1));
    }
    return Admitted;
  }

  manual_clock Clock;
  std::vector<instance_id> Ids;
  std::deque<block_trials> Trials;
};

} // namespace

TEST_F(block_trials_test, blockAfterTheFirstDelay_isTriedByOneInstance) {
  EXPECT_EQ(0, refuseFor(20));
  EXPECT_EQ(1, refuseEverywhere());
  EXPECT_EQ(0, refuseEverywhere());
}

TEST_F(block_trials_test, blockThatStays_isTriedEverMoreSeldom) {
  // Trials after 20, 60, 140 and 300 s.
  EXPECT_EQ(1, refuseFor(50));
  EXPECT_EQ(1, refuseFor(50));
  EXPECT_EQ(1, refuseFor(100));
  EXPECT_EQ(1, refuseFor(150));
}

TEST_F(block_trials_test, blocks_haveTrialsOfTheirOwn) {
  EXPECT_EQ(0, refuseFor(12, "part d"));
  EXPECT_EQ(0, refuseFor(12, "part e"));
  EXPECT_EQ(1, refuseEverywhere("part d"));
  EXPECT_EQ(0, refuseEverywhere("part e"));
}

TEST_F(block_trials_test, blockNotSeenForLong_beginsAnew) {
  EXPECT_EQ(2, refuseFor(70));
  Clock.advance(block_trials::Lifetime + seconds(1));
  EXPECT_EQ(0, refuseFor(20));
  EXPECT_EQ(1, refuseEverywhere());
}

TEST_F(block_trials_test, manyBlocks_newestIsTried) {
  for (int I = 0; I < 5000; ++I)
    refuseEverywhere("part " + std::to_string(I));
  EXPECT_EQ(0, refuseFor(20));
  EXPECT_EQ(1, refuseEverywhere());
}

// Guards against trials that come more often because instances restart: each
// costs an upstream with all that runs there.
TEST_F(block_trials_test, instancesRestarted_keepTheScheduleOfTheCrashes) {
  crash_block Block("request r", Clock.monotonicNow(), /*FailedTrials=*/1);
  int Admitted = 0;
  for (int Second = 0; Second < 40; ++Second) {
    if (Second % 10 == 0)
      restart();
    Admitted += refuseEverywhere(Block);
    Clock.advance(seconds(1));
  }
  EXPECT_EQ(0, Admitted);
  EXPECT_EQ(1, refuseEverywhere(Block));
  EXPECT_EQ(0, refuseEverywhere(Block));
}

// Guards against two trials when another instance takes over the block.
TEST_F(block_trials_test, crashOfATrialElsewhere_delaysTheNextTrial) {
  crash_block Before("request r", Clock.monotonicNow(), 0);
  EXPECT_EQ(0, refuseEverywhere(Before));
  Clock.advance(seconds(19));
  crash_block After("request r", Clock.monotonicNow(), 1);
  Clock.advance(seconds(39));
  EXPECT_EQ(0, refuseEverywhere(After));
  Clock.advance(seconds(1));
  EXPECT_EQ(1, refuseEverywhere(After));
}
