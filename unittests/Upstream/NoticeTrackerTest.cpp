#include "Support/ManualClock.h"
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

  static notice_report reportOf(std::optional<double> Rate, milliseconds Age,
                                std::uint64_t Incarnation = 1) {
    return notice_report(upstream(Incarnation), Rate, /*Leaving=*/false, Age);
  }
  std::optional<double> limit(std::uint64_t Incarnation = 1) {
    return Tracker.conditionOf(upstream(Incarnation)).rateLimit();
  }

  manual_clock Clock;
  notice_tracker Tracker{Clock};
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

TEST_F(notice_tracker_test, latestResponse_decidesTheLimit) {
  EXPECT_FALSE(limit());
  Tracker.note(upstream(), limitOf(2));
  EXPECT_EQ(2, limit());
  Tracker.note(upstream(), upstream_notice());
  EXPECT_FALSE(limit());
}

TEST_F(notice_tracker_test, limitOfAnotherIncarnation_doesNotCount) {
  Tracker.note(upstream(2), limitOf(2));
  EXPECT_FALSE(limit(1));
  EXPECT_FALSE(limit(3));
  EXPECT_FALSE(Tracker.note(upstream(1), limitOf(5)));
  EXPECT_EQ(2, limit(2));
}

TEST_F(notice_tracker_test, limitNotHeardOfForLong_isUnconfirmedThenForgotten) {
  Tracker.note(upstream(), limitOf(2));
  EXPECT_TRUE(Tracker.conditionOf(upstream()).limitConfirmed());
  Clock.advance(notice_tracker::ReportAge + milliseconds(1));
  EXPECT_FALSE(Tracker.conditionOf(upstream()).limitConfirmed());
  EXPECT_EQ(2, limit());
  Clock.advance(notice_tracker::LimitLifetime);
  EXPECT_FALSE(limit());
}

TEST_F(notice_tracker_test, report_tellsLatestLimitAndItsAge) {
  Tracker.note(upstream(), limitOf(2));
  Clock.advance(milliseconds(300));
  EXPECT_EQ(std::vector<notice_report>{reportOf(2, milliseconds(300))},
            Tracker.report());
  Clock.advance(notice_tracker::ReportAge);
  EXPECT_TRUE(Tracker.report().empty());
}

TEST_F(notice_tracker_test, liftedLimit_isReportedToo) {
  Tracker.note(upstream(), limitOf(2));
  Tracker.note(upstream(), upstream_notice());
  EXPECT_EQ(std::vector<notice_report>{reportOf(std::nullopt, milliseconds(0))},
            Tracker.report());
}

TEST_F(notice_tracker_test, report_isBounded) {
  for (std::size_t I = 0; I < 2 * notice_tracker::MaxReported; ++I)
    Tracker.note(upstream_incarnation(upstream_id(std::to_string(I)), 1),
                 limitOf(2));
  EXPECT_EQ(notice_tracker::MaxReported, Tracker.report().size());
}

TEST_F(notice_tracker_test, peersReport_countsIfItsResponseIsLater) {
  Tracker.merge({reportOf(3, milliseconds(500))});
  EXPECT_EQ(3, limit());
  Tracker.note(upstream(), limitOf(2));
  Clock.advance(milliseconds(100));
  Tracker.merge({reportOf(3, milliseconds(200))});
  EXPECT_EQ(2, limit());
  Tracker.merge({reportOf(std::nullopt, milliseconds(50))});
  EXPECT_FALSE(limit());
}

TEST_F(notice_tracker_test, relayedReport_keepsItsAge) {
  Tracker.merge({reportOf(3, milliseconds(9000))});
  Clock.advance(milliseconds(900));
  EXPECT_EQ(std::vector<notice_report>{reportOf(3, milliseconds(9900))},
            Tracker.report());
  Clock.advance(milliseconds(200));
  EXPECT_TRUE(Tracker.report().empty());
}

TEST_F(notice_tracker_test, reportOfNewerIncarnation_replacesTheOlder) {
  Tracker.note(upstream(1), limitOf(2));
  Tracker.merge({reportOf(3, milliseconds(500), 2)});
  EXPECT_FALSE(limit(1));
  EXPECT_EQ(3, limit(2));
  Tracker.merge({reportOf(4, milliseconds(0), 1)});
  EXPECT_EQ(3, limit(2));
}

TEST_F(notice_tracker_test, announcementToLeave_holdsForTheIncarnation) {
  upstream_notice::fields Leaving;
  Leaving.Leaving = true;
  Tracker.note(upstream(), upstream_notice(Leaving));
  Tracker.note(upstream(), upstream_notice());
  Tracker.merge({reportOf(std::nullopt, milliseconds(0))});
  EXPECT_TRUE(Tracker.conditionOf(upstream()).leaving());
  Clock.advance(notice_tracker::LimitLifetime * 2);
  EXPECT_TRUE(Tracker.conditionOf(upstream()).leaving());
  EXPECT_FALSE(Tracker.conditionOf(upstream(2)).leaving());
}

TEST_F(notice_tracker_test, merge_returnsOnlyWhatIsNew) {
  auto Report = reportOf(3, milliseconds(500));
  EXPECT_EQ(std::vector<notice_report>{Report}, Tracker.merge({Report}));
  EXPECT_TRUE(Tracker.merge({reportOf(3, milliseconds(100))}).empty());
  EXPECT_EQ(1U, Tracker.merge({reportOf(2, milliseconds(50))}).size());
}
