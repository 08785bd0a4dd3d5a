#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class return_schedule_test : public testing::Test {
protected:
  milliseconds next(unsigned Priority, milliseconds FreeIn, double Rate) {
    return Schedule.next(service_id("engines"), Priority, FreeIn, Rate);
  }

  manual_clock Clock;
  return_schedule Schedule{Clock};
};

} // namespace

TEST_F(return_schedule_test, firstCaller_returnsWhenARequestIsAdmitted) {
  EXPECT_EQ(milliseconds(300), next(1, milliseconds(300), 2));
}

TEST_F(return_schedule_test, callers_returnAtTheRateOfTheLimits) {
  EXPECT_EQ(milliseconds(300), next(1, milliseconds(300), 2));
  EXPECT_EQ(milliseconds(800), next(1, milliseconds(300), 2));
  EXPECT_EQ(milliseconds(1300), next(1, milliseconds(300), 2));
  Clock.advance(milliseconds(1000));
  EXPECT_EQ(milliseconds(800), next(1, milliseconds(300), 2));
}

TEST_F(return_schedule_test, urgentCaller_isNotPutBehindOthers) {
  next(2, milliseconds(300), 2);
  next(2, milliseconds(300), 2);
  EXPECT_EQ(milliseconds(300), next(0, milliseconds(300), 2));
}

TEST_F(return_schedule_test, lessUrgentCaller_returnsAfterUrgentOnes) {
  next(0, milliseconds(300), 2);
  next(0, milliseconds(300), 2);
  EXPECT_EQ(milliseconds(1300), next(2, milliseconds(300), 2));
}

TEST_F(return_schedule_test, manyCallers_neverWaitLongerThanTheMaximum) {
  for (int I = 0; I < 100; ++I)
    EXPECT_LE(next(1, milliseconds(300), 0.01), return_schedule::MaxDelay);
  Clock.advance(return_schedule::MaxDelay);
  EXPECT_EQ(milliseconds(300), next(1, milliseconds(300), 2));
}

TEST_F(return_schedule_test, otherService_isScheduledByItself) {
  next(1, milliseconds(300), 2);
  EXPECT_EQ(milliseconds(300),
            Schedule.next(service_id("desk"), 1, milliseconds(300), 2));
}
