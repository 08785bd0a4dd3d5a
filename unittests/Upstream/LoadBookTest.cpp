#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class load_book_test : public testing::Test {
protected:
  manual_clock Clock;
  load_book Book{Clock};
  upstream_id U{"u"};
  instance_id Peer{"peer"};
};

} // namespace

TEST_F(load_book_test, ownRequests_areCountedUntilTheyEnd) {
  Book.noteSent(U, 100);
  Book.noteSent(U, 50);
  EXPECT_EQ(2, Book.of(U).running());
  EXPECT_EQ(150, Book.of(U).prefill());
  Book.noteBegun(U, 100);
  Book.noteEnded(U);
  EXPECT_EQ(1, Book.of(U).running());
  EXPECT_EQ(50, Book.of(U).prefill());
}

TEST_F(load_book_test, peersLoad_isAddedAndReplacedAndForgotten) {
  Book.noteSent(U, 10);
  Book.notePeer(Peer, {own_load(U, 3, 30)});
  EXPECT_EQ(4, Book.of(U).running());
  EXPECT_EQ(40, Book.of(U).prefill());
  Book.notePeer(Peer, {own_load(U, 1, 0)});
  EXPECT_EQ(2, Book.of(U).running());
  Clock.advance(load_book::ReportLife + milliseconds(1));
  EXPECT_EQ(1, Book.of(U).running());
}

TEST_F(load_book_test, report_higherThanWhatIsKnown_counts) {
  Book.noteSent(U, 0);
  Book.noteReport(U, queue_report(7, 2));
  EXPECT_EQ(7, Book.of(U).running());
  EXPECT_EQ(2, Book.of(U).waiting());
  Clock.advance(load_book::ReportLife + milliseconds(1));
  EXPECT_EQ(1, Book.of(U).running());
  EXPECT_EQ(0, Book.of(U).waiting());
}

TEST_F(load_book_test, suspicion_fadesByHalf) {
  Book.noteFailure(U, 2);
  Clock.advance(load_book::SuspicionHalfLife);
  EXPECT_NEAR(1, Book.of(U).suspicion(), 1e-9);
}

TEST_F(load_book_test, success_lowersSuspicion) {
  Book.noteFailure(U, 1);
  Book.noteSuccess(U);
  EXPECT_LT(Book.of(U).suspicion(), 1);
}

TEST_F(load_book_test, endsWithoutStarts_doNotWrapAround) {
  Book.noteEnded(U);
  Book.noteBegun(U, 5);
  EXPECT_EQ(0, Book.of(U).running());
  EXPECT_EQ(0, Book.of(U).prefill());
}
