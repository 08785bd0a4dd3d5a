#include "Support/ListingOf.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class occupancy_estimator_test : public testing::Test {
protected:
  void list(const std::string &Id, std::uint32_t Slots) {
    auto Fields = listingOf(Id);
    Fields.Slots = Slots;
    Registry.insertIfNewer(upstream_listing(Fields));
  }

  manual_clock Clock;
  upstream_registry Registry{Clock};
  load_tracker Loads{Clock};
  notice_tracker Notices{Clock};
  occupancy_estimator Estimator{Registry, Loads, Notices, Clock};
  service_id Service{"engines"};
};

} // namespace

TEST_F(occupancy_estimator_test, severalUpstreams_runningIsDividedByAllSlots) {
  list("a", 2);
  list("b", 6);
  Loads.noteSent(upstream_id("a"), 0);
  Loads.noteSent(upstream_id("b"), 0);
  EXPECT_DOUBLE_EQ(0.25, Estimator.occupancyOf(Service));
}

TEST_F(occupancy_estimator_test, noUpstream_isZero) {
  EXPECT_EQ(0, Estimator.occupancyOf(Service));
}

TEST_F(occupancy_estimator_test, estimate_isKeptOnlyForItsLifetime) {
  list("a", 2);
  EXPECT_EQ(0, Estimator.occupancyOf(Service));
  Loads.noteSent(upstream_id("a"), 0);
  EXPECT_EQ(0, Estimator.occupancyOf(Service));
  Clock.advance(occupancy_estimator::EstimateLifetime);
  EXPECT_DOUBLE_EQ(0.5, Estimator.occupancyOf(Service));
}

TEST_F(occupancy_estimator_test,
       limitedUpstream_countsNeitherSlotsNorRequests) {
  list("a", 2);
  list("b", 6);
  Loads.noteSent(upstream_id("a"), 0);
  upstream_notice::fields Notice;
  Notice.RateLimit = 3;
  Notices.note(upstream_incarnation(upstream_id("b"), 1),
               upstream_notice(Notice));
  EXPECT_DOUBLE_EQ(0.5, Estimator.occupancyOf(Service));
}

TEST_F(occupancy_estimator_test, onlyLimitedUpstreams_isFull) {
  list("a", 2);
  upstream_notice::fields Notice;
  Notice.RateLimit = 3;
  Notices.note(upstream_incarnation(upstream_id("a"), 1),
               upstream_notice(Notice));
  EXPECT_EQ(1, Estimator.occupancyOf(Service));
}
