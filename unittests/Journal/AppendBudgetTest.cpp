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

TEST_F(append_budget_test, interval_ofAnyNumberOfInstances_keepsTheBudget) {
  constexpr double MillisPerSecond = 1000;
  for (std::size_t Instances : {1U, 8U, 9U, 50U, 330U, 660U}) {
    auto Interval = appendIntervalFor(Instances, milliseconds(50));
    double Appends = static_cast<double>(Instances * StreamsUnderLoad) *
                     MillisPerSecond / static_cast<double>(Interval.count());
    EXPECT_LE(Appends, MaxAppendsPerSecond * 1.02) << Instances;
  }
}

TEST_F(append_budget_test, pacer_afterAQuietTime_waitsForNothing) {
  append_pacer Pacer(milliseconds(50));
  EXPECT_EQ(milliseconds(0), Pacer.waitAt(Clock.monotonicNow()));
  Pacer.appended(Clock.monotonicNow());
  EXPECT_EQ(milliseconds(50), Pacer.waitAt(Clock.monotonicNow()));
  Clock.advance(milliseconds(50));
  EXPECT_EQ(milliseconds(0), Pacer.waitAt(Clock.monotonicNow()));
}
