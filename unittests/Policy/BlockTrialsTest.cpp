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
    for (int I = 0; I < Count; ++I) {
      Ids.emplace_back("edge-" + std::to_string(I));
      Trials.emplace_back(Ids.back(), Clock);
    }
  }

  /// Each instance refuses one request; returns how many are trials.
  int refuseEverywhere(const std::string &Block = "part d") {
    int Admitted = 0;
    for (auto &Instance : Trials)
      Admitted += Instance.admit(Block, Ids) ? 1 : 0;
    return Admitted;
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
