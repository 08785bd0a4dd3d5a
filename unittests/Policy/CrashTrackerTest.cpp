#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class crash_tracker_test : public testing::Test {
protected:
  manual_clock Clock;
  crash_tracker Tracker{Clock};
  /// Records a crash of an attempt that was sent just before it.
  void crash(const fingerprint &Running, const std::string &Upstream) {
    Tracker.noteCrash(Running, upstream_id(Upstream), Clock.monotonicNow());
  }

  fingerprint Request{"r"};
  fingerprint OtherRequest{"i"};
};
} // namespace

TEST_F(crash_tracker_test, request_atCrashesOfTwoUpstreams_isBlocked) {
  crash(Request, "u1");
  EXPECT_FALSE(Tracker.blocked(Request));
  crash(Request, "u2");
  EXPECT_TRUE(Tracker.blocked(Request));
}

TEST_F(crash_tracker_test, suspectedRequest_thatThenSucceeds_isCleared) {
  crash(Request, "u1");
  Tracker.noteSuccess(Request);
  crash(Request, "u2");
  EXPECT_FALSE(Tracker.blocked(Request));
}

TEST_F(crash_tracker_test, block_afterItsLifetime_isLifted) {
  crash(Request, "u1");
  crash(Request, "u2");
  Clock.advance(crash_tracker::EntryLifetime + seconds(1));
  EXPECT_FALSE(Tracker.blocked(Request));
}

TEST_F(crash_tracker_test, manyRequests_beyondTheBound_newestIsStillTracked) {
  for (int Index = 0; Index < 40000; ++Index)
    crash(fingerprint(std::to_string(Index)), "u");
  crash(Request, "u1");
  EXPECT_TRUE(Tracker.suspected(Request));
}

TEST_F(crash_tracker_test, requestSentDuringTheRestart_isNotSuspected) {
  crash(Request, "u1");
  crash(Request, "u2");
  Clock.advance(milliseconds(500));
  crash(OtherRequest, "u1");
  crash(OtherRequest, "u2");
  EXPECT_FALSE(Tracker.suspected(OtherRequest));
}

TEST_F(crash_tracker_test, requestSentBeforeTheCrash_isSuspectedToo) {
  monotonic_time Sent = Clock.monotonicNow();
  Clock.advance(milliseconds(500));
  crash(Request, "u1");
  Tracker.noteCrash(OtherRequest, upstream_id("u1"), Sent);
  EXPECT_TRUE(Tracker.suspected(OtherRequest));
}

TEST_F(crash_tracker_test, crashAfterTheRestartTime_isCounted) {
  crash(Request, "u1");
  Clock.advance(crash_tracker::RestartTime);
  crash(OtherRequest, "u1");
  EXPECT_TRUE(Tracker.suspected(OtherRequest));
}

TEST_F(crash_tracker_test,
       crashSeenByAPeer_requestSentDuringTheRestartIsNotSuspected) {
  Tracker.notePeerCrash(
      request_crash(Request, upstream_id("u1"), milliseconds(0)));
  Clock.advance(milliseconds(500));
  crash(OtherRequest, "u1");
  EXPECT_FALSE(Tracker.suspected(OtherRequest));
}

TEST_F(crash_tracker_test, crashReportedRepeatedly_keepsItsFirstTime) {
  for (int Second = 0; Second < 10; ++Second) {
    Tracker.notePeerCrash(
        request_crash(Request, upstream_id("u1"), milliseconds(0)));
    Clock.advance(seconds(1));
  }
  EXPECT_TRUE(Tracker.report().crashes().empty());
}

TEST_F(crash_tracker_test, equalRequestSucceededBefore_crashesAreNotCounted) {
  Tracker.noteSuccess(OtherRequest);
  for (const char *Upstream : {"u1", "u2", "u3", "u4"})
    crash(OtherRequest, Upstream);
  Tracker.notePeerCrash(
      request_crash(OtherRequest, upstream_id("u5"), milliseconds(0)));
  EXPECT_EQ(0U, Tracker.crashesOf(OtherRequest));
}

// Guards against a request that succeeded once and then crashes upstreams
// without end, such as those of a newer version.
TEST_F(crash_tracker_test, crashesLongAfterASuccess_requestIsBlocked) {
  Tracker.noteSuccess(Request);
  Clock.advance(crash_tracker::SuccessLifetime + seconds(1));
  for (const char *Upstream : {"u1", "u2"})
    crash(Request, Upstream);
  EXPECT_TRUE(Tracker.blocked(Request));
}

// Guards against a success that a peer reports late and that undoes the crashes
// that followed it.
TEST_F(crash_tracker_test, successBeforeTheCrashesReportedLate_clearsNothing) {
  for (const char *Upstream : {"u1", "u2"})
    crash(Request, Upstream);
  Clock.advance(seconds(3));
  Tracker.notePeerSuccess(
      request_success(Request, crash_tracker::SuccessLifetime + seconds(4)));
  EXPECT_TRUE(Tracker.blocked(Request));
  Tracker.notePeerSuccess(
      request_success(Request, crash_tracker::SuccessLifetime));
  EXPECT_FALSE(Tracker.suspected(Request));
}

// Guards against requests that stay blocked at one instance although they
// succeed at all others.
TEST_F(crash_tracker_test, requestThatSucceedsAtAPeer_isCleared) {
  crash_tracker Peer(Clock);
  Peer.noteSuccess(Request);
  EXPECT_TRUE(Peer.report().successes().empty());
  for (const char *Upstream : {"u1", "u2", "u3"})
    crash(Request, Upstream);
  Peer.merge(Tracker.report());
  Tracker.merge(Peer.report());
  EXPECT_EQ(0U, Tracker.crashesOf(Request));
  // The instance that learnt it tells others, for a limited time.
  EXPECT_EQ(1U, Tracker.report().successes().size());
  Clock.advance(seconds(7));
  EXPECT_TRUE(Tracker.report().successes().empty());
}

TEST_F(crash_tracker_test, reportOfClearedRequests_isBounded) {
  for (int I = 0; I < 1000; ++I) {
    fingerprint Other(std::to_string(I));
    crash(Other, "u");
    Tracker.noteSuccess(Other);
  }
  EXPECT_EQ(crash_tracker::MaxReported, Tracker.report().successes().size());
}
