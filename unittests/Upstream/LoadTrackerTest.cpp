#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class load_tracker_test : public testing::Test {
protected:
  manual_clock Clock;
  load_tracker Tracker{Clock};
  upstream_id U{"u"};
  instance_id Peer{"peer"};
};

} // namespace

TEST_F(load_tracker_test, ownRequests_areCountedUntilTheyEnd) {
  Tracker.noteSent(U, 100);
  Tracker.noteSent(U, 50);
  EXPECT_EQ(2, Tracker.loadOf(U).running());
  EXPECT_EQ(150, Tracker.loadOf(U).prefill());
  Tracker.notePrefillDone(U, 100);
  Tracker.noteEnded(U);
  EXPECT_EQ(1, Tracker.loadOf(U).running());
  EXPECT_EQ(50, Tracker.loadOf(U).prefill());
}

TEST_F(load_tracker_test, peersLoad_isAddedThenReplacedThenExpires) {
  Tracker.noteSent(U, 10);
  Tracker.notePeerReport(Peer, {instance_load(U, 3, 30)});
  EXPECT_EQ(4, Tracker.loadOf(U).running());
  EXPECT_EQ(40, Tracker.loadOf(U).prefill());
  Tracker.notePeerReport(Peer, {instance_load(U, 1, 0)});
  EXPECT_EQ(2, Tracker.loadOf(U).running());
  Clock.advance(load_tracker::ReportLifetime + milliseconds(1));
  EXPECT_EQ(1, Tracker.loadOf(U).running());
}

TEST_F(load_tracker_test, peersReport_withoutAnUpstream_removesOnlyItsLoad) {
  upstream_id V{"v"};
  instance_id OtherPeer{"other"};
  Tracker.notePeerReport(Peer,
                         {instance_load(U, 3, 0), instance_load(V, 5, 0)});
  Tracker.notePeerReport(OtherPeer, {instance_load(U, 2, 0)});
  Tracker.notePeerReport(Peer, {instance_load(V, 4, 0)});
  EXPECT_EQ(2, Tracker.loadOf(U).running());
  EXPECT_EQ(4, Tracker.loadOf(V).running());
}

TEST_F(load_tracker_test, report_aboveTheKnownLoad_isUsed) {
  Tracker.noteSent(U, 0);
  Tracker.noteReport(U, queue_report(7, 2));
  EXPECT_EQ(7, Tracker.loadOf(U).running());
  EXPECT_EQ(2, Tracker.loadOf(U).waiting());
  Clock.advance(load_tracker::ReportLifetime + milliseconds(1));
  EXPECT_EQ(1, Tracker.loadOf(U).running());
  EXPECT_EQ(0, Tracker.loadOf(U).waiting());
}

TEST_F(load_tracker_test, speed_afterItsLifetime_isUsualAgain) {
  EXPECT_FALSE(Tracker.loadOf(U).timeFactor());
  Tracker.noteReport(U, queue_report(1, 0, 2.5));
  EXPECT_EQ(2.5, Tracker.loadOf(U).timeFactor());
  Clock.advance(load_tracker::TimeFactorLifetime + milliseconds(1));
  EXPECT_EQ(1, Tracker.loadOf(U).timeFactor());
}

TEST_F(load_tracker_test, suspicion_afterItsHalfLife_isHalved) {
  Tracker.noteFailure(U, 2);
  Clock.advance(load_tracker::SuspicionHalfLife);
  EXPECT_NEAR(1, Tracker.loadOf(U).suspicion(), 1e-9);
}

TEST_F(load_tracker_test, success_lowersSuspicion) {
  Tracker.noteFailure(U, 1);
  Tracker.noteSuccess(U);
  EXPECT_LT(Tracker.loadOf(U).suspicion(), 1);
}

TEST_F(load_tracker_test, endsWithoutStarts_doNotWrapAround) {
  Tracker.noteEnded(U);
  Tracker.notePrefillDone(U, 5);
  EXPECT_EQ(0, Tracker.loadOf(U).running());
  EXPECT_EQ(0, Tracker.loadOf(U).prefill());
}
