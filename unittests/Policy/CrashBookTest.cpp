#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class crash_book_test : public testing::Test {
protected:
  manual_clock Clock;
  crash_book Book{Clock};
  /// The attempt was sent just before.
  void crash(const fingerprint &Running, const std::string &Upstream) {
    Book.noteCrash(Running, upstream_id(Upstream), Clock.monotonicNow());
  }

  fingerprint Request{"r"};
  fingerprint Innocent{"i"};
};
} // namespace

TEST_F(crash_book_test, request_atCrashesOfTwoUpstreams_isBlocked) {
  crash(Request, "u1");
  EXPECT_FALSE(Book.blocked(Request));
  crash(Request, "u2");
  EXPECT_TRUE(Book.blocked(Request));
}

TEST_F(crash_book_test, bystander_thatThenSucceeds_isCleared) {
  crash(Request, "u1");
  Book.noteSuccess(Request);
  crash(Request, "u2");
  EXPECT_FALSE(Book.blocked(Request));
}

TEST_F(crash_book_test, block_afterItsMemory_isLifted) {
  crash(Request, "u1");
  crash(Request, "u2");
  Clock.advance(crash_book::Memory + seconds(1));
  EXPECT_FALSE(Book.blocked(Request));
}

TEST_F(crash_book_test, manyRequests_neverGrowPastTheBound) {
  for (int Index = 0; Index < 40000; ++Index)
    crash(fingerprint(std::to_string(Index)), "u");
  crash(Request, "u1");
  EXPECT_TRUE(Book.suspected(Request));
}

TEST_F(crash_book_test, requestSentAfterACrash_isNotBlamedForTheRestart) {
  crash(Request, "u1");
  crash(Request, "u2");
  Clock.advance(milliseconds(500));
  crash(Innocent, "u1");
  crash(Innocent, "u2");
  EXPECT_FALSE(Book.suspected(Innocent));
}

TEST_F(crash_book_test, requestSentBeforeACrash_isSuspectedBesideTheCulprit) {
  monotonic_time Sent = Clock.monotonicNow();
  Clock.advance(milliseconds(500));
  crash(Request, "u1");
  Book.noteCrash(Innocent, upstream_id("u1"), Sent);
  EXPECT_TRUE(Book.suspected(Innocent));
}

TEST_F(crash_book_test, crashAfterTheRestart_countsAgain) {
  crash(Request, "u1");
  Clock.advance(crash_book::RestartTime);
  crash(Innocent, "u1");
  EXPECT_TRUE(Book.suspected(Innocent));
}

TEST_F(crash_book_test, crashThatAPeerSaw_alsoExplainsTheRestart) {
  Book.notePeerCrash(Request, upstream_id("u1"));
  Clock.advance(milliseconds(500));
  crash(Innocent, "u1");
  EXPECT_FALSE(Book.suspected(Innocent));
}

TEST_F(crash_book_test, crashToldAgainAndAgain_growsOldAllTheSame) {
  for (int Second = 0; Second < 10; ++Second) {
    Book.notePeerCrash(Request, upstream_id("u1"));
    Clock.advance(seconds(1));
  }
  EXPECT_TRUE(Book.recent(seconds(5)).empty());
}

TEST_F(crash_book_test, requestWhoseLikeSucceeded_isNotBlamedWhenManyCrash) {
  Book.noteSuccess(Innocent);
  for (const char *Upstream : {"u1", "u2", "u3", "u4"})
    crash(Innocent, Upstream);
  Book.notePeerCrash(Innocent, upstream_id("u5"));
  EXPECT_EQ(0U, Book.crashesOf(Innocent));
}
