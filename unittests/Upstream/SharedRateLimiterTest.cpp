#include "Support/ManualClock.h"
#include "bluebellkeel/Upstream.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Selected senders per request per second, and their advance, for cold
/// upstreams and for those that name a limit.
constexpr double ColdSendersPerRate = 0.5;
constexpr milliseconds ColdAdvance{0};
constexpr double LimitSendersPerRate = 1;
constexpr milliseconds LimitAdvance{1000};

class shared_rate_limiter_test : public testing::Test {
protected:
  void addInstances(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Ids.emplace_back("edge-" + std::to_string(I));
    for (const auto &Id : Ids)
      Limiters.push_back(std::make_unique<shared_rate_limiter>(
          Id, SendersPerRate, Advance, Clock));
  }
  /// Lets all instances try every millisecond for 3 s; returns the most
  /// requests admitted in any second.
  std::size_t maxPerSecond(double Rate) { return maxInWindow(Rate, 1, 3000); }
  /// Lets all instances try every millisecond for \p Steps; returns the most
  /// requests admitted in any window.
  std::size_t maxInWindow(double Rate, std::size_t WindowSeconds, int Steps) {
    std::size_t Window = WindowSeconds * 1000;
    std::vector<std::size_t> Admitted;
    for (int Step = 0; Step < Steps; ++Step) {
      std::size_t Now = 0;
      for (auto &Limiter : Limiters)
        Now += Limiter->admit({Upstream, Rate, Ids}) ? 1 : 0;
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

  double SendersPerRate = ColdSendersPerRate;
  milliseconds Advance = ColdAdvance;
  manual_clock Clock;
  const upstream_id Upstream{"u"};
  std::vector<instance_id> Ids;
  std::vector<std::unique_ptr<shared_rate_limiter>> Limiters;
};

/// Operators' bound on the requests to a cold upstream in any second, and to a
/// limited one in any four: Overage times its rate plus Slack.
constexpr double Overage = 1.5;
constexpr double Slack = 5;
constexpr std::size_t LimitWindowSeconds = 4;

class shared_limit_test : public shared_rate_limiter_test {
protected:
  shared_limit_test() {
    SendersPerRate = LimitSendersPerRate;
    Advance = LimitAdvance;
  }
  std::size_t maxInFourSeconds(double Rate) {
    return maxInWindow(Rate, LimitWindowSeconds, 9000);
  }
  static double allowed(double Rate) {
    return Rate * Overage * LimitWindowSeconds + Slack;
  }
};

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

TEST_F(shared_limit_test, rateBelowOne_isNotExceeded) {
  addInstances(81);
  EXPECT_LE(maxInFourSeconds(0.3), allowed(0.3));
  EXPECT_GE(maxInFourSeconds(0.3), 1U);
}

TEST_F(shared_limit_test, idleSender_catchesUpWithinItsAdvance) {
  addInstances(1);
  EXPECT_TRUE(Limiters[0]->admit({Upstream, 2, Ids}));
  Clock.advance(milliseconds(5000));
  int Admitted = 0;
  while (Limiters[0]->admit({Upstream, 2, Ids}))
    ++Admitted;
  EXPECT_EQ(3, Admitted);
}

TEST_F(shared_limit_test, requestThatLeavesTheAdvance_waitsUntilItIsDue) {
  addInstances(1);
  shared_rate_limiter::request Light{Upstream, 2, Ids};
  Light.MayAdvance = false;
  EXPECT_TRUE(Limiters[0]->admit(Light));
  EXPECT_FALSE(Limiters[0]->admit(Light));
  EXPECT_EQ(milliseconds(500), Limiters[0]->delay(Light));
  EXPECT_TRUE(Limiters[0]->admit({Upstream, 2, Ids}));
  EXPECT_EQ(milliseconds(1000), Limiters[0]->delay(Light));
}

TEST_F(shared_limit_test, delay_isTheTimeUntilTheNextRequestIsAdmitted) {
  addInstances(1);
  EXPECT_EQ(milliseconds(0), Limiters[0]->delay({Upstream, 2, Ids}));
  while (Limiters[0]->admit({Upstream, 2, Ids}))
    ;
  auto Delay = Limiters[0]->delay({Upstream, 2, Ids});
  ASSERT_TRUE(Delay);
  Clock.advance(*Delay - milliseconds(1));
  EXPECT_FALSE(Limiters[0]->admit({Upstream, 2, Ids}));
  Clock.advance(milliseconds(1));
  EXPECT_TRUE(Limiters[0]->admit({Upstream, 2, Ids}));
}

TEST_F(shared_limit_test, raisedRate_shortensTheDelay) {
  addInstances(1);
  while (Limiters[0]->admit({Upstream, 0.2, Ids}))
    ;
  EXPECT_GT(*Limiters[0]->delay({Upstream, 0.2, Ids}), milliseconds(3000));
  EXPECT_LE(*Limiters[0]->delay({Upstream, 10, Ids}), milliseconds(100));
}

TEST_F(shared_limit_test, unselectedInstance_hasNoDelayButSharesEqualParts) {
  addInstances(9);
  std::size_t Selected = 0;
  std::size_t Equal = 0;
  for (auto &Limiter : Limiters) {
    Selected += Limiter->delay({Upstream, 2, Ids}) ? 1 : 0;
    Equal +=
        Limiter->admit({Upstream, 2, Ids, shared_rate_limiter::senders::All})
            ? 1
            : 0;
  }
  EXPECT_EQ(2U, Selected);
  EXPECT_EQ(9U, Equal);
  Clock.advance(milliseconds(3000));
  EXPECT_FALSE(Limiters[0]->admit(
      {Upstream, 2, Ids, shared_rate_limiter::senders::All}));
}

RC_GTEST_FIXTURE_PROP(shared_limit_test,
                      anyNumberOfInstances_staysWithinTheBound, ()) {
  addInstances(*rc::gen::inRange<std::size_t>(1, 40));
  double Rate = 0.1 * *rc::gen::inRange(1, 200);
  RC_ASSERT(static_cast<double>(maxInFourSeconds(Rate)) <= allowed(Rate));
}
