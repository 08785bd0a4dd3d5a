#include "bluebellkeel/Gateway.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class listener_shares_test : public testing::Test {
protected:
  static constexpr std::size_t Mb = 1UL << 20;
};

} // namespace

// Guards against crowds that are each limited but not together.
TEST_F(listener_shares_test, shares_addUpToTheMemoryOfAllListeners) {
  for (std::size_t Process : {16 * Mb, 88 * Mb, 260 * Mb}) {
    listener_shares Shares(Process);
    EXPECT_EQ(memory_budget::shareOf(Process),
              Shares.callers() + Shares.directory() + Shares.readiness() +
                  Shares.counters());
  }
}

TEST_F(listener_shares_test, callers_haveMostOfTheMemory) {
  listener_shares Shares(88 * Mb);
  EXPECT_GE(Shares.callers(), memory_budget::shareOf(88 * Mb) / 8 * 7);
}

TEST_F(listener_shares_test, smallestMemory_hasRoomAtEachListener) {
  constexpr std::size_t RequestBytes = 60000;
  listener_shares Shares(16 * Mb);
  EXPECT_LT(RequestBytes, Shares.readiness());
  EXPECT_LT(RequestBytes, Shares.counters());
  EXPECT_LT(RequestBytes, Shares.directory());
}
