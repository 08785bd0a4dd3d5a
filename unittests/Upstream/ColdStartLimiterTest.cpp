#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class cold_start_limiter_test : public testing::Test {
protected:
  void add(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Ids.emplace_back("edge-" + std::to_string(I));
    for (const auto &Id : Ids)
      Limiters.push_back(std::make_unique<cold_start_limiter>(Id, Clock));
  }
  /// All instances try each millisecond; the most that pass in one second.
  std::size_t mostInASecond(double Rate) {
    constexpr int Steps = 3000;
    constexpr std::size_t Window = 1000;
    std::vector<std::size_t> Passed;
    for (int Step = 0; Step < Steps; ++Step) {
      std::size_t Now = 0;
      for (auto &Limiter : Limiters)
        Now += Limiter->admit(upstream_id("u"), Rate, Ids) ? 1 : 0;
      Passed.push_back(Now);
      Clock.advance(milliseconds(1));
    }
    std::size_t Most = 0;
    for (std::size_t I = 0; I + Window <= Passed.size(); ++I) {
      std::size_t Sum = 0;
      for (std::size_t J = I; J < I + Window; ++J)
        Sum += Passed[J];
      Most = std::max(Most, Sum);
    }
    return Most;
  }

  manual_clock Clock;
  std::vector<instance_id> Ids;
  std::vector<std::unique_ptr<cold_start_limiter>> Limiters;
};

/// What the operators allow at a cold upstream in any second.
constexpr double Overage = 1.5;
constexpr double Slack = 5;

} // namespace

TEST_F(cold_start_limiter_test, allInstances_pressing_stayWithinTheBound) {
  add(9);
  EXPECT_LE(mostInASecond(14), 14 * Overage + Slack);
}

TEST_F(cold_start_limiter_test, manyInstances_pressing_stayWithinTheBound) {
  add(81);
  EXPECT_LE(mostInASecond(14), 14 * Overage + Slack);
}

TEST_F(cold_start_limiter_test, oneInstance_alone_usesTheRate) {
  add(1);
  EXPECT_GE(mostInASecond(14), 14U);
}

RC_GTEST_FIXTURE_PROP(cold_start_limiter_test,
                      anyNumberOfInstances_staysWithinTheBound, ()) {
  add(*rc::gen::inRange<std::size_t>(1, 40));
  double Rate = *rc::gen::inRange(1, 30);
  RC_ASSERT(static_cast<double>(mostInASecond(Rate)) <= Rate * Overage + Slack);
}
