#include "bluebellkeel/Relay.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class answer_patience_test : public testing::Test {
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

TEST_F(answer_patience_test, lastRun_waitsForAllTheTimeThatIsLeft) {
  answer_patience Patience(Route, Left, /*MoreRuns=*/false);
  EXPECT_EQ(Left, Patience.firstByte());
  EXPECT_EQ(Left, Patience.pause());
}

TEST_F(answer_patience_test, runWithOthersToCome_isGivenUpWhenItIsLate) {
  answer_patience Patience(Route, Left, /*MoreRuns=*/true);
  EXPECT_EQ(milliseconds(3000), Patience.firstByte());
  EXPECT_EQ(milliseconds(3000), Patience.pause());
}

TEST_F(answer_patience_test, patience_neverOutlivesTheTimeThatIsLeft) {
  constexpr milliseconds Short{700};
  answer_patience Patience(Route, Short, /*MoreRuns=*/true);
  EXPECT_EQ(Short, Patience.firstByte());
  EXPECT_EQ(Short, Patience.pause());
}

TEST_F(answer_patience_test, routeWithoutAnObjective_setsNoLimitOfItsOwn) {
  answer_patience Patience(routeWith(milliseconds(0), milliseconds(0)), Left,
                           /*MoreRuns=*/true);
  EXPECT_EQ(Left, Patience.firstByte());
}
