#include "ScaledFleet.h"
#include <cmath>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class counting_log final : public event_log {
public:
  void write(const event_line & /*Line*/) override { ++Lines; }
  std::size_t Lines = 0;
};

/// The policy in a loop with a fleet that follows its orders.
class scale_planner_test : public testing::Test {
protected:
  static constexpr milliseconds Step{500};
  static constexpr milliseconds Long{30000};

  enum class outcome { Accepted, Lost, InDoubt };

  void step() {
    Clock.advance(Step);
    Fleet.step();
    Planner.observe();
    Planner.decide();
    for (const auto &Order : std::vector(Planner.due())) {
      Orders.push_back(Order);
      if (Outcome == outcome::Accepted)
        Fleet.order(Order);
      Planner.noteSent(Order, Outcome == outcome::InDoubt);
    }
  }
  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step)
      step();
  }
  /// Plays a wave of the work around \p Mean.
  void runWave(milliseconds Time, double Mean) {
    constexpr double Period = 11000;
    constexpr double Height = 0.27;
    constexpr double FullTurn = 6.283185307179586;
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      auto At = static_cast<double>(Passed.count());
      Fleet.setRunning(Mean * (1 + Height * std::sin(FullTurn * At / Period)));
      step();
    }
  }
  double occupancy(double Running) const {
    return Running / (Fleet.present() * scaled_fleet::Slots);
  }

  manual_clock Clock;
  scaled_fleet Fleet{Clock};
  work_following_count Policy;
  counting_log Log;
  scale_planner Planner{Fleet, Policy, Clock, Log};
  std::vector<scale_order> Orders;
  outcome Outcome = outcome::Accepted;
};

TEST_F(scale_planner_test, wave_isFollowedByItsPeakWithoutOscillation) {
  constexpr double Mean = 60;
  runWave(Long, Mean);
  std::size_t Before = Orders.size();
  std::uint32_t Present = Fleet.present();
  runWave(2 * Long, Mean);
  EXPECT_EQ(Before, Orders.size());
  EXPECT_EQ(Present, Fleet.present());
  EXPECT_LE(occupancy(1.27 * Mean), work_following_count::TargetOccupancy);
}

TEST_F(scale_planner_test, burst_findsFreeSlotsAndIsFollowedWithinTheBootTime) {
  constexpr double Usual = 60;
  Fleet.setRunning(Usual);
  run(Long);
  Fleet.setRunning(2 * Usual);
  EXPECT_LT(occupancy(2 * Usual), 0.75);
  run(scaled_fleet::BootTime + 2 * Step);
  EXPECT_LE(occupancy(2 * Usual), 0.4);
}

TEST_F(scale_planner_test, workEnds_fewerOnlyAfterTheHistory) {
  Fleet.setRunning(90);
  run(Long);
  std::uint32_t Full = Fleet.present();
  Fleet.setRunning(0);
  run(work_history::Span - 2 * Step);
  EXPECT_EQ(Full, Fleet.present());
  run(Long);
  EXPECT_EQ(3 * scaled_fleet::Min, Fleet.present());
}

TEST_F(scale_planner_test, callersMove_upstreamsFollowPartly) {
  Fleet.setRunning(60);
  run(Long);
  Fleet.at("a").Running = 60;
  Fleet.at("b").Running = Fleet.at("c").Running = 0;
  run(2 * Long);
  EXPECT_GT(Fleet.at("a").Present, Fleet.at("b").Present);
  EXPECT_LE(occupancy(60), work_following_count::TargetOccupancy);
}

TEST_F(scale_planner_test, dataCentreIsClosed_othersMakeUpForIt) {
  Fleet.setRunning(60);
  run(Long);
  std::uint32_t Before = Fleet.at("b").Present;
  std::uint32_t Closed = Fleet.at("a").Present;
  Fleet.at("a").Closed = true;
  run(Long);
  EXPECT_GT(Fleet.at("b").Present, Before);
  EXPECT_EQ(Closed, Fleet.at("a").Present);
}

TEST_F(scale_planner_test, manyCrash_theDifferenceIsOrdered) {
  Fleet.setRunning(60);
  run(Long);
  std::uint32_t Full = Fleet.present();
  Fleet.at("a").Present -= Full / 4;
  Orders.clear();
  run(scaled_fleet::BootTime + 4 * Step);
  EXPECT_GE(Fleet.present(), Full);
  // At most one order for each data centre.
  EXPECT_LE(Orders.size(), 3U);
  EXPECT_LE(Fleet.present(), Full + Full / 2);
}

TEST_F(scale_planner_test, orderIsLost_isRepeatedAfterTheBootTime) {
  Outcome = outcome::Lost;
  Fleet.setRunning(60);
  run(scaled_fleet::BootTime);
  std::size_t First = Orders.size();
  EXPECT_GT(First, 0U);
  Outcome = outcome::Accepted;
  run(Long);
  EXPECT_LE(occupancy(60), work_following_count::TargetOccupancy);
}

TEST_F(scale_planner_test, orderIsAppliedLate_isCorrected) {
  Fleet.setRunning(60);
  run(Long);
  std::uint32_t Wanted = Fleet.at("a").Present;
  Fleet.Booting.push_back(
      {Clock.monotonicNow(), scale_order(service_id("s"), data_centre_id("a"),
                                         Wanted + 3, scale_reason::MoreWork)});
  run(Long);
  EXPECT_EQ(Wanted, Fleet.at("a").Present);
}

TEST_F(scale_planner_test, orderWithoutAnswer_newestIsRepeated) {
  Outcome = outcome::InDoubt;
  Fleet.setRunning(60);
  step();
  std::size_t First = Orders.size();
  ASSERT_GT(First, 0U);
  Outcome = outcome::Accepted;
  run(scale_planner::DoubtInterval + Step);
  EXPECT_EQ(2 * First, Orders.size());
}

TEST_F(scale_planner_test, fewInstancesHeardOf_nothingIsOrdered) {
  Fleet.Sources = 5;
  Fleet.setRunning(200);
  run(Long);
  EXPECT_TRUE(Orders.empty());
  EXPECT_EQ(0U, Log.Lines);
}

TEST_F(scale_planner_test, knowledgeIsLost_keepsWhatIsThere) {
  Fleet.setRunning(90);
  run(Long);
  std::uint32_t Full = Fleet.present();
  Fleet.Sources = 0;
  Fleet.setRunning(0);
  run(2 * Long);
  EXPECT_EQ(Full, Fleet.present());
}

TEST_F(scale_planner_test, enginesReadLongPrompts_moreAreOrdered) {
  Fleet.Prefill = 15 * work_following_count::TargetPrefill;
  run(Long);
  EXPECT_EQ(15U, Fleet.present());
}

TEST_F(scale_planner_test, moreWorkThanAllMayServe_isHeldAtTheMaximum) {
  Fleet.setRunning(5000);
  run(Long);
  EXPECT_EQ(3 * scaled_fleet::Max, Fleet.present());
}

TEST_F(scale_planner_test, newTerm_ordersOnlyWhatIsNotPresent) {
  Fleet.setRunning(60);
  run(Long);
  Orders.clear();
  Planner.forgetOrders();
  run(Long);
  EXPECT_TRUE(Orders.empty());
}

TEST_F(scale_planner_test, baselines_orderTheLimits) {
  auto Observation = Fleet.observe().front();
  scale_query Query(Observation, work_total(), true, {});
  for (const auto &Order : always_maximum_count().decide(Query))
    EXPECT_EQ(scaled_fleet::Max, Order.count());
  for (const auto &Order : always_minimum_count().decide(Query))
    EXPECT_EQ(scaled_fleet::Min, Order.count());
}

} // namespace
