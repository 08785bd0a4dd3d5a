#include "Support/ManualClock.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class append_budget_test : public testing::Test {
protected:
  manual_clock Clock;
};
} // namespace

TEST_F(append_budget_test, interval_forAnyInstanceCount_keepsBudget) {
  constexpr double MillisPerSecond = 1000;
  for (std::size_t Instances : {1U, 8U, 9U, 50U, 330U, 660U}) {
    auto Interval = appendIntervalFor(Instances, milliseconds(50));
    double Appends = static_cast<double>(Instances * StreamsUnderLoad) *
                     MillisPerSecond / static_cast<double>(Interval.count());
    EXPECT_LE(Appends, MaxAppendsPerSecond * 1.02) << Instances;
  }
}

TEST_F(append_budget_test, appendBurst_afterIdleSecond_isNotDelayed) {
  append_pacer Pacer(milliseconds(50));
  for (int Index = 0; Index < 20; ++Index) {
    EXPECT_EQ(milliseconds(0), Pacer.delayAt(Clock.monotonicNow())) << Index;
    Pacer.recordAppend(Clock.monotonicNow());
  }
  Pacer.recordAppend(Clock.monotonicNow());
  EXPECT_GT(Pacer.delayAt(Clock.monotonicNow()), milliseconds(0));
}

TEST_F(append_budget_test, appends_atHighestRate_stayWithinBudget) {
  append_pacer Pacer(milliseconds(50));
  int Appends = 0;
  for (int Elapsed = 0; Elapsed < 10000; ++Elapsed) {
    if (Pacer.delayAt(Clock.monotonicNow()) == milliseconds(0)) {
      Pacer.recordAppend(Clock.monotonicNow());
      ++Appends;
    }
    Clock.advance(milliseconds(1));
  }
  // 10 s at 20 appends a second, plus a burst of one idle second.
  EXPECT_LE(Appends, 200 + 20 + 1);
}

TEST_F(append_budget_test, blockUntil_delaysAppends) {
  append_pacer Pacer(milliseconds(50));
  Pacer.blockUntil(Clock.monotonicNow() + milliseconds(200));
  EXPECT_EQ(milliseconds(200), Pacer.delayAt(Clock.monotonicNow()));
}
