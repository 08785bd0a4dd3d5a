#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class follow_timing_test : public testing::Test {};

} // namespace

TEST_F(follow_timing_test, longPoll_ofAnyApplyTime_leavesTimeToReadAgain) {
  for (int ApplyMs : {500, 1000, 2000, 3000, 10000, 600000}) {
    follow_timing Timing{milliseconds(ApplyMs)};
    EXPECT_GT(Timing.longPoll(), milliseconds(0)) << ApplyMs;
    EXPECT_LE(2 * Timing.longPoll(), Timing.applyTime()) << ApplyMs;
  }
}

TEST_F(follow_timing_test, longPoll_ofLongApplyTime_isBounded) {
  EXPECT_EQ(milliseconds(5000), follow_timing(seconds(3600)).longPoll());
}

TEST_F(follow_timing_test, maxPeerDataAge_isBelowTheApplyTime) {
  follow_timing Timing(milliseconds(2000));
  EXPECT_GT(Timing.maxPeerDataAge(), Timing.longPoll());
  EXPECT_LT(Timing.maxPeerDataAge(), Timing.applyTime());
}

TEST_F(follow_timing_test, maxRelayedDataAge_leavesTimeForARead) {
  constexpr milliseconds ReadTime{300};
  for (int ApplyMs : {1500, 2000, 3000, 4000, 10000}) {
    milliseconds ApplyTime(ApplyMs);
    follow_timing Timing(ApplyTime);
    EXPECT_LE(Timing.maxRelayedDataAge() + ReadTime, ApplyTime) << ApplyMs;
    EXPECT_GT(Timing.maxRelayedDataAge(), Timing.longPoll()) << ApplyMs;
  }
}
