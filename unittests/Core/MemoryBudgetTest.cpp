#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>
#include <thread>
#include <vector>

using namespace bluebellkeel;

namespace {

class memory_budget_test : public testing::Test {
protected:
  static constexpr std::size_t Limit = 1600;

  memory_budget Budget{Limit};
};

} // namespace

TEST_F(memory_budget_test, eachUse_leavesRoomForMoreImportantOnes) {
  EXPECT_TRUE(Budget.take(memory_use::LongEvent, 1334));
  EXPECT_FALSE(Budget.take(memory_use::LongEvent, 1));
  EXPECT_FALSE(Budget.take(memory_use::Buffer, 1));
  EXPECT_TRUE(Budget.take(memory_use::Request, 66));
  EXPECT_FALSE(Budget.take(memory_use::Request, 1));
  EXPECT_TRUE(Budget.take(memory_use::Connection, 100));
  EXPECT_FALSE(Budget.take(memory_use::Connection, 1));
  EXPECT_TRUE(Budget.take(memory_use::Urgent, 100));
  EXPECT_FALSE(Budget.take(memory_use::Urgent, 1));
  EXPECT_EQ(Limit, Budget.held());
}

TEST_F(memory_budget_test, refusedUse_takesNothingAndIsCounted) {
  EXPECT_FALSE(Budget.take(memory_use::Request, Limit));
  EXPECT_EQ(0U, Budget.held());
  EXPECT_EQ(1U, Budget.refusals(memory_use::Request));
  EXPECT_EQ(0U, Budget.refusals(memory_use::Connection));
}

TEST_F(memory_budget_test, hugeSize_isRefused) {
  Budget.take(memory_use::Request, 100);
  EXPECT_FALSE(Budget.take(memory_use::Connection,
                           std::numeric_limits<std::size_t>::max()));
  EXPECT_EQ(100U, Budget.held());
}

TEST_F(memory_budget_test, memory_isScarceBeforeRequestsAreRefused) {
  Budget.take(memory_use::Request, 1200);
  EXPECT_FALSE(Budget.scarce());
  EXPECT_TRUE(Budget.take(memory_use::Request, 1));
  EXPECT_TRUE(Budget.scarce());
}

TEST_F(memory_budget_test, endedReservation_releasesAllItHolds) {
  {
    memory_reservation Reservation(Budget, memory_use::Request);
    EXPECT_TRUE(Reservation.growTo(500));
    EXPECT_TRUE(Reservation.growTo(300));
    EXPECT_FALSE(Reservation.growTo(Limit));
    EXPECT_EQ(500U, Budget.held());
    Reservation.shrinkTo(200);
    EXPECT_EQ(200U, Budget.held());
  }
  EXPECT_EQ(0U, Budget.held());
}

TEST_F(memory_budget_test, manyThreads_neverHoldMoreThanTheLimit) {
  constexpr int Rounds = 2000;
  constexpr std::size_t Count = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Threads.emplace_back([this] {
      for (int Round = 0; Round < Rounds; ++Round) {
        memory_reservation Reservation(Budget, memory_use::Connection);
        for (std::size_t Bytes = 100; Reservation.growTo(Bytes); Bytes += 100)
          EXPECT_GE(Limit, Budget.held());
      }
    });
  for (auto &Thread : Threads)
    Thread.join();
  EXPECT_EQ(0U, Budget.held());
}

TEST_F(memory_budget_test, shareOfAProcess_leavesRoomForItsOwnMemory) {
  constexpr std::size_t Mb = 1UL << 20;
  for (std::size_t Process : {16 * Mb, 88 * Mb, 110 * Mb, 260 * Mb}) {
    EXPECT_GE(memory_budget::shareOf(Process), Process / 4);
    EXPECT_LE(memory_budget::shareOf(Process), Process - Process / 10);
  }
  EXPECT_LE(memory_budget::shareOf(88 * Mb), 64 * Mb);
}

TEST_F(memory_budget_test, missing_isWhatMustBeReleasedFirst) {
  Budget.take(memory_use::Urgent, 1500);
  EXPECT_EQ(0U, Budget.missing(memory_use::Connection, 0));
  EXPECT_EQ(10U, Budget.missing(memory_use::Connection, 10));
  EXPECT_EQ(110U, Budget.missing(memory_use::Request, 10));
  EXPECT_EQ(0U, Budget.missing(memory_use::Urgent, 100));
  Budget.release(110);
  EXPECT_TRUE(Budget.take(memory_use::Request, 10));
}
