#include "FakeDutyPlatform.h"
#include "FakeDutyStore.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Scale.h"
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>

using namespace bluebellkeel;

namespace {

/// One service that always lacks upstreams.
class short_of_upstreams final : public scale_input {
public:
  std::vector<scale_observation> observe() override {
    scale_observation::fields Fields;
    Fields.Service = service_id("s");
    Fields.Limits = scaling_limits(1, 3, seconds(8));
    centre_upstreams::fields Centre;
    Centre.Centre = data_centre_id("a");
    Centre.Present = 1;
    Fields.Centres.emplace_back(Centre);
    return {scale_observation(std::move(Fields))};
  }
};

class quiet_log final : public event_log {
public:
  void write(const event_line & /*Line*/) override {}
};

/// Three instances that may hold the duties, on one clock.
class duty_keeper_test : public testing::Test {
protected:
  static constexpr milliseconds Lease{3000};
  static constexpr milliseconds Window{5000};
  static constexpr milliseconds ReportDelay{10000};
  static constexpr milliseconds Step{250};

  struct instance {
    instance(const std::string &Name, duty_keeper_test &Test)
        : Id(Name), Store(Test.Shared),
          Keeper(std::make_unique<duty_keeper>(Id, Test.Times, Test.Clock,
                                               Test.Usage, News, Store,
                                               Test.Platform, Test.Log)) {}

    instance_id Id;
    duty_news News;
    fake_duty_store Store;
    std::unique_ptr<duty_keeper> Keeper;
    bool Runs = true;
    bool HearsPeers = true;
  };

  duty_keeper_test() {
    for (const char *Name : {"a", "b", "c"}) {
      Instances.push_back(std::make_unique<instance>(Name, *this));
      Live.push_back(Instances.back()->Id);
    }
  }

  /// Runs all instances for \p Time, with news among them at each step.
  void run(milliseconds Time) {
    for (milliseconds Passed{0}; Passed < Time; Passed += Step) {
      Clock.advance(Step);
      countOne();
      for (auto &Instance : Instances) {
        if (!Instance->Runs)
          continue;
        Instance->Keeper->run(Live);
        spreadNews(*Instance);
      }
    }
  }

  void spreadNews(const instance &From) {
    for (auto &Other : Instances) {
      if (From.HearsPeers && Other->HearsPeers)
        Other->News.note(From.News.newest());
    }
  }

  /// Counts one more request in the current window.
  void countOne() {
    std::uint64_t Now = Times.windowAt(Clock.wallNow());
    Usage.merge(instance_id("a"),
                {usage_report(Now, {{account_id("x"), ++Requests}})});
  }

  instance &holder() {
    for (auto &Instance : Instances) {
      if (Instance->Id == Shared.Record.holder())
        return *Instance;
    }
    ADD_FAILURE() << "nobody holds the duties";
    return *Instances.front();
  }

  /// Windows that the platform has got, each once.
  std::set<std::uint64_t> reportedWindows() const {
    std::set<std::uint64_t> Windows;
    for (const auto &Call : Platform.Calls)
      Windows.insert(Call.Report.window());
    return Windows;
  }

  /// Expects what the platform requires of the calls of all instances.
  void expectOneHolderAtATime() const {
    std::map<std::uint64_t, usage_report> Reports;
    std::map<std::uint64_t, instance_id> Holders;
    const auto &Calls = Platform.Calls;
    for (std::size_t I = 0; I < Calls.size(); ++I) {
      const auto &Call = Calls[I];
      EXPECT_EQ(
          Call.Report,
          Reports.emplace(Call.Report.window(), Call.Report).first->second);
      EXPECT_EQ(Call.Holder,
                Holders.emplace(Call.Token, Call.Holder).first->second);
      if (I == 0 || Calls[I - 1].Holder == Call.Holder)
        continue;
      EXPECT_LE(Calls[I - 1].Token, Call.Token);
      for (std::size_t Before = I - 1; Before-- > 0;) {
        if (Calls[Before].Holder != Call.Holder)
          continue;
        EXPECT_GE(Call.At - Calls[Before].At, Lease);
      }
    }
  }

  manual_clock Clock;
  duty_times Times{Lease, Window, ReportDelay};
  usage_collector Usage;
  fake_duty_log Shared;
  fake_duty_platform Platform{Clock};
  quiet_log Log;
  std::uint64_t Requests = 0;
  std::vector<std::unique_ptr<instance>> Instances;
  std::vector<instance_id> Live;
};

using fault = fake_duty_store::fault;

} // namespace

TEST_F(duty_keeper_test, allHealthy_oneHolderReportsEachWindowOnce) {
  run(seconds(60));
  EXPECT_EQ(reportedWindows().size(), Platform.Calls.size());
  EXPECT_GE(reportedWindows().size(), 10U);
  // The term, and each report.
  EXPECT_LE(Shared.Writes, Platform.Calls.size() + 3);
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, holderDies_successorReportsAllWindowsAfterALease) {
  run(seconds(20));
  instance &First = holder();
  First.Runs = false;
  run(seconds(40));
  EXPECT_NE(First.Id, holder().Id);
  auto Windows = reportedWindows();
  EXPECT_EQ(Windows.size(), *Windows.rbegin() - *Windows.begin() + 1);
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, holderReleases_successorTakesOverInTime) {
  run(seconds(20));
  instance &First = holder();
  First.Keeper->release();
  spreadNews(First);
  First.Runs = false;
  run(seconds(20));
  EXPECT_FALSE(holder().Id.empty());
  EXPECT_NE(First.Id, holder().Id);
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, holderThaws_neitherCallsNorRecordsUnderItsOldTerm) {
  run(seconds(20));
  instance &First = holder();
  First.Runs = false;
  run(seconds(20));
  std::size_t Before = Platform.Calls.size();
  First.HearsPeers = false;
  First.Runs = true;
  First.Keeper->run(Live);
  for (std::size_t I = Before; I < Platform.Calls.size(); ++I)
    EXPECT_NE(First.Id, Platform.Calls[I].Holder);
  EXPECT_NE(First.Id, holder().Id);
  First.HearsPeers = true;
  run(seconds(20));
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, holderIsCutOffFromTheLog_successorTakesOver) {
  run(seconds(20));
  instance &First = holder();
  First.Store.Fault = fault::Down;
  run(seconds(25));
  EXPECT_NE(First.Id, holder().Id);
  First.Store.Fault = fault::None;
  run(seconds(20));
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, answersOfTheLogAreLost_reportsStayTheSame) {
  run(seconds(12));
  for (auto &Instance : Instances)
    Instance->Store.Fault = fault::LoseAnswer;
  run(seconds(10));
  for (auto &Instance : Instances)
    Instance->Store.Fault = fault::None;
  run(seconds(20));
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, appendLandsLate_reportsStayTheSame) {
  run(seconds(20));
  instance &First = holder();
  First.Store.Fault = fault::DelayAppend;
  while (!Shared.Late)
    run(Step);
  First.Store.Fault = fault::None;
  // Requests are still counted, so that a new report would differ.
  Usage.merge(instance_id("b"),
              {usage_report(Times.windowAt(Clock.wallNow()) - 1,
                            {{account_id("x"), 100}})});
  Shared.Late();
  run(seconds(20));
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, logIsRestored_tokenStillRises) {
  run(seconds(12));
  duty_record Copy = Shared.Record;
  run(seconds(10));
  std::uint64_t Before = Platform.HighestToken;
  Shared.restore(Copy);
  holder().Runs = false;
  run(seconds(30));
  EXPECT_GT(Platform.HighestToken, Before);
  expectOneHolderAtATime();
}

// The platform has got reports whose records the log has lost.
TEST_F(duty_keeper_test, logIsRestoredUnderTheHolder_reportsStayTheSame) {
  run(seconds(12));
  duty_record Copy = Shared.Record;
  run(seconds(9));
  Shared.restore(Copy);
  run(seconds(30));
  EXPECT_GE(reportedWindows().size(), 7U);
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, platformHasSeenAHigherToken_tokenIsNotUsedAgain) {
  run(seconds(12));
  std::uint64_t Token = Shared.Record.token();
  std::size_t Before = Platform.Calls.size();
  Platform.HighestToken = Token + 1;
  run(seconds(30));
  ASSERT_GT(Platform.Calls.size(), Before);
  for (std::size_t I = Before; I < Platform.Calls.size(); ++I)
    EXPECT_GT(Platform.Calls[I].Token, Token);
}

TEST_F(duty_keeper_test, platformGivesNoAnswer_sameReportIsSentAgain) {
  run(seconds(12));
  Platform.Outcome = duty_outcome::Unknown;
  run(seconds(6));
  Platform.Outcome.reset();
  run(seconds(6));
  EXPECT_GT(Platform.Calls.size(), reportedWindows().size());
  expectOneHolderAtATime();
}

// Faults in any order never bring two holders or two reports of a window.
TEST_F(duty_keeper_test, manyFaults_neverBreakTheRulesOfTheHolder) {
  constexpr unsigned Seed = 20261206;
  std::mt19937 Random(Seed);
  for (int Round = 0; Round < 400; ++Round) {
    instance &Chosen = *Instances[Random() % Instances.size()];
    switch (Random() % 6) {
    case 0:
      Chosen.Runs = !Chosen.Runs;
      break;
    case 1:
      Chosen.HearsPeers = !Chosen.HearsPeers;
      break;
    case 2:
      Chosen.Store.Fault = static_cast<fault>(Random() % 4);
      break;
    case 3:
      if (Shared.Late)
        std::exchange(Shared.Late, nullptr)();
      break;
    case 4:
      Platform.Outcome = Random() % 2 == 0
                             ? std::nullopt
                             : std::optional(duty_outcome::Unknown);
      break;
    default:
      for (auto &Instance : Instances) {
        Instance->Runs = true;
        Instance->HearsPeers = true;
        Instance->Store.Fault = fault::None;
      }
      break;
    }
    run(milliseconds(250 * (1 + Random() % 24)));
  }
  EXPECT_GE(reportedWindows().size(), 20U);
  expectOneHolderAtATime();
}

TEST_F(duty_keeper_test, ordersAreDue_onlyTheHolderSendsThemInItsTerm) {
  short_of_upstreams Input;
  always_maximum_count Policy;
  scale_planner Planner(Input, Policy, Clock, Log);
  run(seconds(20));
  Planner.observe();
  for (auto &Instance : Instances)
    Instance->Keeper->sendOrders(Planner);
  ASSERT_EQ(1U, Platform.Orders.size());
  EXPECT_EQ(holder().Id, Platform.Orders.front().Holder);
  EXPECT_EQ(Shared.Record.token(), Platform.Orders.front().Token);
  EXPECT_EQ(3U, Platform.Orders.front().Order.count());
  EXPECT_TRUE(Planner.due().empty());
}

TEST_F(duty_keeper_test, orderMeetsAHigherToken_holderStepsDown) {
  short_of_upstreams Input;
  always_maximum_count Policy;
  scale_planner Planner(Input, Policy, Clock, Log);
  run(seconds(20));
  Platform.HighestToken = Shared.Record.token() + 1;
  Planner.observe();
  instance &First = holder();
  First.Keeper->sendOrders(Planner);
  First.Keeper->sendOrders(Planner);
  EXPECT_TRUE(Platform.Orders.empty());
  EXPECT_FALSE(Planner.due().empty());
}

TEST_F(duty_keeper_test, logIsAway_noOrderIsSentAfterHalfALease) {
  short_of_upstreams Input;
  always_maximum_count Policy;
  scale_planner Planner(Input, Policy, Clock, Log);
  run(seconds(20));
  instance &First = holder();
  First.Store.Fault = fault::Down;
  Clock.advance(Lease / 2);
  Planner.observe();
  First.Keeper->sendOrders(Planner);
  EXPECT_TRUE(Platform.Orders.empty());
}

TEST_F(duty_keeper_test, platformRejectsAnOrder_itStaysDue) {
  short_of_upstreams Input;
  always_maximum_count Policy;
  scale_planner Planner(Input, Policy, Clock, Log);
  run(seconds(20));
  Platform.Outcome = duty_outcome::Rejected;
  Planner.observe();
  holder().Keeper->sendOrders(Planner);
  EXPECT_EQ(1U, Planner.due().size());
  Platform.Outcome = std::nullopt;
  Clock.advance(duty_keeper::RetryDelay);
  holder().Keeper->sendOrders(Planner);
  EXPECT_TRUE(Planner.due().empty());
}
