#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Selected senders per request per second, as for cold upstreams.
constexpr double SendersPerRate = 0.5;

class shared_rate_limiter_test : public testing::Test {
protected:
  void addInstances(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Ids.emplace_back("edge-" + std::to_string(I));
    for (const auto &Id : Ids)
      Limiters.push_back(
          std::make_unique<shared_rate_limiter>(Id, SendersPerRate, Clock));
  }
  /// Lets all instances try every millisecond for 3 s; returns the most
  /// requests admitted in any second.
  std::size_t maxPerSecond(double Rate) {
    constexpr int Steps = 3000;
    constexpr std::size_t Window = 1000;
    std::vector<std::size_t> Admitted;
    for (int Step = 0; Step < Steps; ++Step) {
      std::size_t Now = 0;
      for (auto &Limiter : Limiters)
        Now += Limiter->admit(upstream_id("u"), Rate, Ids) ? 1 : 0;
      Admitted.push_back(Now);
      Clock.advance(milliseconds(1));
    }
    std::size_t Peak = 0;
    for (std::size_t I = 0; I + Window <= Admitted.size(); ++I) {
      std::size_t Sum = 0;
      for (std::size_t J = I; J < I + Window; ++J)
        Sum += Admitted[J];
      Peak = std::max(Peak, Sum);
    }
    return Peak;
  }

  manual_clock Clock;
  std::vector<instance_id> Ids;
  std::vector<std::unique_ptr<shared_rate_limiter>> Limiters;
};

/// Operators' bound on the requests to a cold upstream in any second: Overage
/// times its rate plus Slack.
constexpr double Overage = 1.5;
constexpr double Slack = 5;

} // namespace

TEST_F(shared_rate_limiter_test,
       allInstances_underConstantDemand_stayWithinTheBound) {
  addInstances(9);
  EXPECT_LE(maxPerSecond(14), 14 * Overage + Slack);
}

TEST_F(shared_rate_limiter_test,
       manyInstances_underConstantDemand_stayWithinTheBound) {
  addInstances(81);
  EXPECT_LE(maxPerSecond(14), 14 * Overage + Slack);
}

TEST_F(shared_rate_limiter_test, singleInstance_usesTheFullRate) {
  addInstances(1);
  EXPECT_GE(maxPerSecond(14), 14U);
}

RC_GTEST_FIXTURE_PROP(shared_rate_limiter_test,
                      anyNumberOfInstances_staysWithinTheBound, ()) {
  addInstances(*rc::gen::inRange<std::size_t>(1, 40));
  double Rate = *rc::gen::inRange(1, 30);
  RC_ASSERT(static_cast<double>(maxPerSecond(Rate)) <= Rate * Overage + Slack);
}
