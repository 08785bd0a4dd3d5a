#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class load_board_test : public testing::Test {
protected:
  load_contribution contribution(const std::string &Instance,
                                 std::uint64_t Number, std::uint64_t Running,
                                 milliseconds Age = milliseconds(0)) const {
    return load_contribution(instance_id(Instance), Number, Age,
                             {instance_load(U, Running, 10 * Running)});
  }
  /// Returns the running requests at U that \p From knows.
  static std::uint64_t totalOf(load_collector &From) {
    std::uint64_t Running = 0;
    load_board Board = load_collector::sum(From.contributions(), {});
    for (const auto &Total : Board.totals())
      Running += Total.running();
    return Running;
  }
  /// Returns a board of which \p Included is the recipient's contribution.
  load_board boardWith(const load_contribution &Included) {
    Collector.note(Included);
    return load_collector::sum(Collector.contributions(), Collector.reports())
        .including(Included.number());
  }

  manual_clock Clock;
  load_collector Collector{Clock};
  load_tracker Tracker{Clock};
  load_contributor Self{instance_id("self"), Tracker, Clock};
  upstream_id U{"u"};
};

} // namespace

TEST_F(load_board_test, contribution_arrivingTwice_countsOnce) {
  load_collector Other(Clock);
  Collector.note(contribution("a", 7, 3));
  for (const auto &PassedOn : Collector.contributions())
    Other.note(PassedOn);
  Other.note(contribution("a", 8, 4));
  for (const auto &PassedOn : Collector.contributions())
    Other.note(PassedOn);
  EXPECT_EQ(4U, totalOf(Other));
}

TEST_F(load_board_test, contribution_passedOn_keepsItsAge) {
  load_collector Other(Clock);
  Collector.note(contribution("a", 7, 3, milliseconds(200)));
  Clock.advance(milliseconds(900));
  for (const auto &PassedOn : Collector.contributions()) {
    EXPECT_EQ(milliseconds(1100), PassedOn.age());
    Other.note(PassedOn);
  }
  Clock.advance(milliseconds(401));
  EXPECT_EQ(0U, totalOf(Other));
}

TEST_F(load_board_test, restartedInstance_withLowerNumber_countsAfterExpiry) {
  Collector.note(contribution("a", 70, 3));
  Collector.note(contribution("a", 1, 1));
  EXPECT_EQ(3U, totalOf(Collector));
  Clock.advance(load_collector::ContributionLifetime + milliseconds(1));
  Collector.note(contribution("a", 2, 1));
  EXPECT_EQ(1U, totalOf(Collector));
}

TEST_F(load_board_test, report_olderThanTheOneHeld_isIgnored) {
  Collector.noteReport({U, queue_report(5, 1, 2.0), milliseconds(100)});
  Collector.noteReport({U, queue_report(9, 9, 9.0), milliseconds(300)});
  ASSERT_EQ(1U, Collector.reports().size());
  EXPECT_EQ(queue_report(5, 1, 2.0), Collector.reports().front().report());
  Clock.advance(load_collector::ReportLifetime);
  EXPECT_TRUE(Collector.reports().empty());
}

TEST_F(load_board_test, ownRequestsAfterTheBoard_areAddedOnce) {
  Tracker.noteSent(U, 10);
  auto Own = Self.take(milliseconds(0));
  Tracker.noteSent(U, 10);
  Collector.note(contribution("a", 7, 3));
  ASSERT_TRUE(Self.apply(boardWith(*Own), 2));
  EXPECT_EQ(5, Tracker.loadOf(U).running());
  EXPECT_EQ(50, Tracker.loadOf(U).prefill());
  Tracker.noteEnded(U);
  Tracker.noteEnded(U);
  EXPECT_EQ(3, Tracker.loadOf(U).running());
}

TEST_F(load_board_test, board_andDigestOfTheSamePeer_countOnce) {
  Tracker.notePeerReport(instance_id("a"), {instance_load(U, 3, 30)});
  auto Own = Self.take(milliseconds(0));
  Collector.note(contribution("a", 7, 3));
  ASSERT_TRUE(Self.apply(boardWith(*Own), 2));
  EXPECT_EQ(3, Tracker.loadOf(U).running());
}

TEST_F(load_board_test, lostCollector_peersDigestsAreUsedAgain) {
  auto Own = Self.take(milliseconds(0));
  Collector.note(contribution("a", 7, 9));
  ASSERT_TRUE(Self.apply(boardWith(*Own), 2));
  Clock.advance(load_tracker::BoardLifetime + milliseconds(1));
  Tracker.notePeerReport(instance_id("a"), {instance_load(U, 3, 30)});
  EXPECT_EQ(3, Tracker.loadOf(U).running());
  EXPECT_EQ(load_tracker::BoardLifetime + milliseconds(1), Self.boardAge());
}

TEST_F(load_board_test, board_delayedOnItsWay_isRejected) {
  auto Own = Self.take(milliseconds(0));
  load_board Board = boardWith(*Own);
  Clock.advance(load_tracker::BoardLifetime + milliseconds(1));
  EXPECT_FALSE(Self.apply(Board, 1));
}

TEST_F(load_board_test, board_withoutOwnContributionOrOlder_isRejected) {
  auto First = Self.take(milliseconds(0));
  load_board Board = boardWith(*First);
  EXPECT_FALSE(Self.apply(Board.including(0), 1));
  auto Second = Self.take(milliseconds(0));
  EXPECT_TRUE(Self.apply(Board.including(Second->number()), 1));
  EXPECT_FALSE(Self.apply(Board, 1));
}

TEST_F(load_board_test, upstreamMissingInNewerBoard_hasNoLoadOfOthers) {
  Collector.note(contribution("a", 7, 3));
  ASSERT_TRUE(Self.apply(boardWith(*Self.take(milliseconds(0))), 2));
  Collector.note(load_contribution(instance_id("a"), 8, milliseconds(0), {}));
  ASSERT_TRUE(Self.apply(boardWith(*Self.take(milliseconds(0))), 2));
  EXPECT_EQ(0, Tracker.loadOf(U).running());
}

TEST_F(load_board_test, reportAboveTheTotals_countsOnlyInIncompleteBoards) {
  Collector.note(contribution("a", 7, 3));
  Collector.noteReport({U, queue_report(8, 2, 1.5), milliseconds(100)});
  ASSERT_TRUE(Self.apply(boardWith(*Self.take(milliseconds(0))), 2));
  EXPECT_EQ(upstream_load(3, 30, 2, 0, 1.5), Tracker.loadOf(U));
  ASSERT_TRUE(Self.apply(boardWith(*Self.take(milliseconds(0))), 3));
  EXPECT_EQ(8, Tracker.loadOf(U).running());
}

TEST_F(load_board_test, reportFromBoard_isNotContributedAgain) {
  Collector.noteReport({U, queue_report(8, 2, 1.5), milliseconds(100)});
  ASSERT_TRUE(Self.apply(boardWith(*Self.take(milliseconds(0))), 1));
  EXPECT_TRUE(Tracker.reportsAfter(monotonic_time()).empty());
  EXPECT_FALSE(Tracker.speedReportedAfter(monotonic_time()));
  Tracker.noteReport(U, queue_report(1, 0, 2.0));
  EXPECT_EQ(1U, Tracker.reportsAfter(monotonic_time()).size());
}

TEST_F(load_board_test, unchangedLoads_areNotTakenAgainAtOnce) {
  Tracker.noteSent(U, 10);
  EXPECT_TRUE(Self.take(milliseconds(500)));
  EXPECT_FALSE(Self.take(milliseconds(500)));
  Clock.advance(milliseconds(500));
  EXPECT_TRUE(Self.take(milliseconds(500)));
}

TEST_F(load_board_test, partition_eachSideSeesItsOwnUntilItHeals) {
  load_collector Other(Clock);
  Collector.note(contribution("a", 7, 3));
  Other.note(contribution("b", 7, 5));
  auto Exchange = [&] {
    for (const auto &PassedOn : Collector.contributions())
      Other.note(PassedOn);
    for (const auto &PassedOn : Other.contributions())
      Collector.note(PassedOn);
  };
  Exchange();
  EXPECT_EQ(8U, totalOf(Collector));
  Clock.advance(load_collector::ContributionLifetime + milliseconds(1));
  Collector.note(contribution("a", 8, 3));
  Other.note(contribution("b", 8, 5));
  EXPECT_EQ(3U, totalOf(Collector));
  EXPECT_EQ(5U, totalOf(Other));
  Exchange();
  EXPECT_EQ(8U, totalOf(Collector));
  EXPECT_EQ(8U, totalOf(Other));
}
