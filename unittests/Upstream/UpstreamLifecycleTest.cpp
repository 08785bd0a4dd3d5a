#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class upstream_lifecycle_test : public testing::Test {
protected:
  upstream_lifecycle Lifecycle;
};
} // namespace

TEST_F(upstream_lifecycle_test, start_beforeAnyReport_isUnknown) {
  EXPECT_EQ(upstream_phase::Unknown, Lifecycle.phase());
}

TEST_F(upstream_lifecycle_test, reports_coldThenWarmThenFull_leadToReady) {
  Lifecycle.reportedCold();
  EXPECT_EQ(upstream_phase::Cold, Lifecycle.phase());
  Lifecycle.reportedWarm();
  EXPECT_EQ(upstream_phase::Warming, Lifecycle.phase());
  Lifecycle.reachedFullLoad();
  EXPECT_EQ(upstream_phase::Ready, Lifecycle.phase());
}

TEST_F(upstream_lifecycle_test, readyUpstream_reportingCold_becomesCold) {
  Lifecycle.reportedWarm();
  Lifecycle.reachedFullLoad();
  Lifecycle.reportedCold();
  EXPECT_EQ(upstream_phase::Cold, Lifecycle.phase());
}

TEST_F(upstream_lifecycle_test, failedReports_thenWarmReport_leadToWarming) {
  Lifecycle.reportedWarm();
  Lifecycle.reachedFullLoad();
  Lifecycle.reportsFailed();
  EXPECT_EQ(upstream_phase::Suspect, Lifecycle.phase());
  Lifecycle.reportedWarm();
  EXPECT_EQ(upstream_phase::Warming, Lifecycle.phase());
}

TEST_F(upstream_lifecycle_test, leavingUpstream_whateverItReports_drains) {
  Lifecycle.listedLeaving();
  Lifecycle.reportedWarm();
  EXPECT_EQ(upstream_phase::Draining, Lifecycle.phase());
  Lifecycle.unlisted();
  EXPECT_EQ(upstream_phase::Gone, Lifecycle.phase());
}
