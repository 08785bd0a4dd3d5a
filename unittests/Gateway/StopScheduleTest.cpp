#include "bluebellkeel/Gateway/StopSchedule.h"
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

class stop_schedule_test : public testing::Test {};

TEST_F(stop_schedule_test, longGracePeriod_leavesTimeForLastResponses) {
  stop_schedule Schedule(milliseconds(8000));
  EXPECT_EQ(milliseconds(2500), Schedule.longAdmission());
  EXPECT_EQ(milliseconds(3000), Schedule.minServing());
  EXPECT_EQ(milliseconds(7500), Schedule.responsesEnd());
  EXPECT_EQ(milliseconds(7700), Schedule.end());
}

RC_GTEST_FIXTURE_PROP(stop_schedule_test, anyGracePeriod_keepsOrderOfPhases,
                      ()) {
  milliseconds Grace(*rc::gen::inRange(0, 100000));
  stop_schedule Schedule(Grace);
  RC_ASSERT(milliseconds(0) <= Schedule.longAdmission());
  RC_ASSERT(Schedule.longAdmission() <= Schedule.minServing());
  RC_ASSERT(Schedule.minServing() <= Schedule.responsesEnd());
  RC_ASSERT(Schedule.responsesEnd() <= Schedule.end());
  RC_ASSERT(Schedule.end() <= Grace);
}
