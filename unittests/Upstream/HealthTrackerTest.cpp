#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class health_tracker_test : public testing::Test {
protected:
  manual_clock Clock;
  health_tracker Health{Clock};
  upstream_id Upstream{"u"};
};
} // namespace

TEST_F(health_tracker_test,
       upstream_afterThreeFailures_isExcludedForTheBackoff) {
  Health.noteFailure(Upstream);
  Health.noteFailure(Upstream);
  EXPECT_TRUE(Health.healthy(Upstream));
  Health.noteFailure(Upstream);
  EXPECT_FALSE(Health.healthy(Upstream));
  Clock.advance(seconds(1));
  EXPECT_TRUE(Health.healthy(Upstream));
}

TEST_F(health_tracker_test, success_betweenFailures_resetsTheCount) {
  for (int Round = 0; Round < 5; ++Round) {
    Health.noteFailure(Upstream);
    Health.noteFailure(Upstream);
    Health.noteSuccess(Upstream);
  }
  EXPECT_TRUE(Health.healthy(Upstream));
}

TEST_F(health_tracker_test, backoff_afterManyFailures_isBounded) {
  for (int Round = 0; Round < 50; ++Round)
    Health.noteFailure(Upstream);
  Clock.advance(seconds(16));
  EXPECT_TRUE(Health.healthy(Upstream));
}
