#include "Support/SeededRandom.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Counts the free slots.
class counting_owner final : public slot_owner {
public:
  int Free = 0;
  void releaseSlot(const upstream_id & /*Upstream*/,
                   const load_amount & /*Need*/) override {
    ++Free;
  }
};

class admission_queue_test : public testing::Test {
protected:
  std::uint64_t enqueue(const char *Account) {
    return Queue.enqueue(
        pool_id("p"), account_id(Account),
        [this]() -> std::optional<upstream_slot> {
          if (Owner.Free == 0)
            return std::nullopt;
          --Owner.Free;
          return upstream_slot(Owner, upstream_id("u"), load_amount(1, 0));
        },
        [this, Account](upstream_slot Slot) {
          Served.emplace_back(Account);
          AcquiredSlots.push_back(std::move(Slot));
        });
  }

  counting_owner Owner;
  admission_queue Queue;
  std::vector<std::string> Served;
  std::vector<upstream_slot> AcquiredSlots;
};

} // namespace

TEST_F(admission_queue_test, request_withFreeCapacity_isServedAtOnce) {
  Owner.Free = 1;
  enqueue("a");
  EXPECT_EQ(1U, Served.size());
}

TEST_F(admission_queue_test,
       largeAccount_withALongQueue_doesNotStarveASmallOne) {
  for (int Index = 0; Index < 100; ++Index)
    enqueue("large");
  enqueue("small");
  Owner.Free = 2;
  Queue.serveWaiting(pool_id("p"));
  EXPECT_EQ((std::vector<std::string>{"large", "small"}), Served);
}

TEST_F(admission_queue_test, cancel_ofOneWaiting_keepsTheOthers) {
  auto First = enqueue("a");
  enqueue("a");
  EXPECT_TRUE(Queue.cancel(pool_id("p"), account_id("a"), First));
  EXPECT_FALSE(Queue.cancel(pool_id("p"), account_id("a"), First));
  EXPECT_EQ(1U, Queue.waiting(pool_id("p")));
}

TEST_F(admission_queue_test, queue_atItsBound_refusesOnlyThatAccount) {
  for (std::size_t I = 0; I < admission_queue::MaxWaitingPerAccount; ++I)
    EXPECT_NE(0U, enqueue("a"));
  EXPECT_EQ(0U, enqueue("a"));
  EXPECT_NE(0U, enqueue("b"));
}

RC_GTEST_FIXTURE_PROP(admission_queue_test,
                      waitingAccounts_underAnyArrivals_areServedInTurn,
                      (std::uint64_t Seed)) {
  seeded_random Random(Seed);
  const char *Accounts[] = {"a", "b", "c"};
  // All three accounts always have requests waiting; one sends ten times as
  // many.
  for (const char *Account : Accounts)
    enqueue(Account);
  std::map<std::string, int> Counts;
  for (int Round = 0; Round < 60; ++Round) {
    for (int Index = 0; Index < 10; ++Index)
      enqueue("a");
    enqueue("b");
    enqueue("c");
    Owner.Free = 1 + static_cast<int>(Random.uniformBelow(2));
    Queue.serveWaiting(pool_id("p"));
    Owner.Free = 0;
  }
  for (const auto &Account : Served)
    ++Counts[Account];
  RC_ASSERT(std::abs(Counts["a"] - Counts["b"]) <= 1);
  RC_ASSERT(std::abs(Counts["a"] - Counts["c"]) <= 1);
}
