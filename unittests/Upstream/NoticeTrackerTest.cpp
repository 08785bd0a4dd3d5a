#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class notice_tracker_test : public testing::Test {
protected:
  static upstream_incarnation upstream(std::uint64_t Incarnation = 1) {
    return upstream_incarnation(upstream_id("u"), Incarnation);
  }
  static upstream_notice limitOf(double Rate) {
    upstream_notice::fields Notice;
    Notice.RateLimit = Rate;
    return upstream_notice(Notice);
  }

  notice_tracker Tracker;
};

} // namespace

TEST_F(notice_tracker_test, firstResponse_isAChangeIfItSaysSomething) {
  EXPECT_FALSE(Tracker.note(upstream(), upstream_notice()));
  EXPECT_TRUE(Tracker.note(upstream(), limitOf(2)));
}

TEST_F(notice_tracker_test, repeatedNotice_isNoChange) {
  Tracker.note(upstream(), limitOf(2));
  EXPECT_FALSE(Tracker.note(upstream(), limitOf(2)));
  EXPECT_TRUE(Tracker.note(upstream(), limitOf(3)));
  EXPECT_TRUE(Tracker.note(upstream(), upstream_notice()));
}

TEST_F(notice_tracker_test, newIncarnation_startsWithoutNotice) {
  Tracker.note(upstream(1), limitOf(2));
  EXPECT_TRUE(Tracker.note(upstream(2), limitOf(2)));
}
