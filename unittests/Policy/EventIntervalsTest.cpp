#include "bluebellkeel/Policy.h"
#include <cmath>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class event_intervals_test : public testing::Test {
protected:
  /// Returns \p Count times of \p Millis at upstreams with \p Running requests.
  static event_intervals times(int Count, int Millis, double Running) {
    event_intervals Result;
    for (int I = 0; I < Count; ++I)
      Result = Result.with(milliseconds(Millis), Running);
    return Result;
  }
};

} // namespace

TEST_F(event_intervals_test, levels_coverAnyLoad) {
  EXPECT_EQ(0U, event_intervals::levelOf(0));
  EXPECT_EQ(0U, event_intervals::levelOf(3));
  EXPECT_EQ(1U, event_intervals::levelOf(4));
  EXPECT_EQ(3U, event_intervals::levelOf(31));
  EXPECT_EQ(4U, event_intervals::levelOf(32));
  EXPECT_EQ(4U, event_intervals::levelOf(100000));
}

TEST_F(event_intervals_test, difference_atEqualLoad_isThatOfTheLogarithms) {
  auto Difference = times(8, 200, 5).differenceTo(times(8, 40, 5));
  ASSERT_TRUE(Difference);
  EXPECT_NEAR(std::log(5), *Difference, 0.001);
}

TEST_F(event_intervals_test, difference_ignoresOthersUnderMoreLoad) {
  auto Others = times(8, 40, 5).plus(times(500, 300, 30));
  auto Difference = times(8, 200, 5).differenceTo(Others);
  ASSERT_TRUE(Difference);
  EXPECT_NEAR(std::log(5), *Difference, 0.001);
}

TEST_F(event_intervals_test, difference_withoutOthersAtThatLoad_isToMoreLoad) {
  auto Difference = times(8, 200, 1).differenceTo(times(8, 100, 30));
  ASSERT_TRUE(Difference);
  EXPECT_NEAR(std::log(2), *Difference, 0.001);
}

TEST_F(event_intervals_test, difference_toOthersUnderLessLoad_isUnknown) {
  EXPECT_FALSE(times(100, 200, 30).differenceTo(times(100, 40, 1)));
}

TEST_F(event_intervals_test, difference_ofFewTimes_isUnknown) {
  EXPECT_FALSE(times(7, 200, 1).differenceTo(times(100, 40, 1)));
  EXPECT_FALSE(times(100, 200, 1).differenceTo(times(7, 40, 1)));
}
