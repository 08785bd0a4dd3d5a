#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class crash_book_test : public testing::Test {
protected:
  manual_clock Clock;
  crash_book Book{Clock};
  fingerprint Request{"r"};
};
} // namespace

TEST_F(crash_book_test, request_atCrashesOfTwoUpstreams_isBlocked) {
  Book.noteCrash(Request, upstream_id("u1"));
  EXPECT_FALSE(Book.blocked(Request));
  Book.noteCrash(Request, upstream_id("u2"));
  EXPECT_TRUE(Book.blocked(Request));
}

TEST_F(crash_book_test, bystander_thatThenSucceeds_isCleared) {
  Book.noteCrash(Request, upstream_id("u1"));
  Book.noteSuccess(Request);
  Book.noteCrash(Request, upstream_id("u2"));
  EXPECT_FALSE(Book.blocked(Request));
}

TEST_F(crash_book_test, block_afterItsMemory_isLifted) {
  Book.noteCrash(Request, upstream_id("u1"));
  Book.noteCrash(Request, upstream_id("u2"));
  Clock.advance(crash_book::Memory + seconds(1));
  EXPECT_FALSE(Book.blocked(Request));
}

TEST_F(crash_book_test, manyRequests_neverGrowPastTheBound) {
  for (int Index = 0; Index < 40000; ++Index)
    Book.noteCrash(fingerprint(std::to_string(Index)), upstream_id("u"));
  Book.noteCrash(Request, upstream_id("u1"));
  EXPECT_TRUE(Book.suspected(Request));
}
