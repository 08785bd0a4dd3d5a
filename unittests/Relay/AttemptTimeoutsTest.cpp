#include "bluebellkeel/Relay.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class attempt_timeouts_test : public testing::Test {
protected:
  static forward_route routeWith(milliseconds Objective, milliseconds Gap) {
    forward_route::fields Fields;
    Fields.Objective = Objective;
    Fields.GapObjective = Gap;
    return forward_route(Fields);
  }

  static constexpr milliseconds Left{20000};
  const forward_route Route = routeWith(milliseconds(1500), milliseconds(1500));
};

} // namespace

TEST_F(attempt_timeouts_test, lastRun_waitsForAllRemainingTime) {
  attempt_timeouts Timeouts(Route, Left, /*MoreRuns=*/false);
  EXPECT_EQ(Left, Timeouts.firstByte());
  EXPECT_EQ(Left, Timeouts.idle());
}

TEST_F(attempt_timeouts_test, runWithRunsLeft_isAbandonedWhenLate) {
  attempt_timeouts Timeouts(Route, Left, /*MoreRuns=*/true);
  EXPECT_EQ(milliseconds(3000), Timeouts.firstByte());
  EXPECT_EQ(milliseconds(3000), Timeouts.idle());
}

TEST_F(attempt_timeouts_test, timeouts_neverExceedRemainingTime) {
  constexpr milliseconds Short{700};
  attempt_timeouts Timeouts(Route, Short, /*MoreRuns=*/true);
  EXPECT_EQ(Short, Timeouts.firstByte());
  EXPECT_EQ(Short, Timeouts.idle());
}

TEST_F(attempt_timeouts_test, routeWithoutObjective_waitsForAllRemainingTime) {
  attempt_timeouts Timeouts(routeWith(milliseconds(0), milliseconds(0)), Left,
                            /*MoreRuns=*/true);
  EXPECT_EQ(Left, Timeouts.firstByte());
}
