#include "Support/RelayFixture.h"
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class chat_relay_test : public testing::Test, protected relay_fixture {
protected:
  tl::expected<chat_outcome, refusal> run(const chat_request &Request) {
    return chat_relay(Deps).relay(Request, Sink, [](const plan_step &) {});
  }
  tl::expected<chat_outcome, refusal> run() { return run(chat()); }

  void scriptFailures(attempt_error Error, int Pieces, int Times) {
    for (int Index = 0; Index < Times; ++Index)
      Engines.Scripts.push_back({Pieces, Error});
  }

  fake_sink Sink;
};

} // namespace

TEST_F(chat_relay_test, request_firstAttemptSucceeds_isCompleteAndBilledOnce) {
  auto Outcome = run();
  ASSERT_TRUE(Outcome);
  EXPECT_TRUE(Sink.complete());
  ASSERT_EQ(1U, Bills.Committed.size());
  EXPECT_EQ(30U, Bills.Committed[0].tokens());
  EXPECT_EQ(30U, Bills.Committed[0].cost());
  EXPECT_EQ(0, Slots.Held);
}

TEST_F(chat_relay_test, finalChunk_beforeBillIsDurable_isHeldBack) {
  bool FinalBeforeBill = false;
  Sink.OnPut = [&](const response_chunk &Chunk) {
    if (Chunk.isFinal() && Bills.Committed.empty())
      FinalBeforeBill = true;
  };
  run();
  EXPECT_TRUE(Sink.complete());
  EXPECT_FALSE(FinalBeforeBill);
}

TEST_F(chat_relay_test, bill_notDurable_withholdsFinalChunk) {
  Bills.Fault = journal_error::Unavailable;
  auto Outcome = run();
  EXPECT_EQ(refusal_reason::BillNotDurable, Outcome.error().reason());
  EXPECT_EQ(run_state::Ran, Outcome.error().run());
  EXPECT_FALSE(Sink.complete());
}

TEST_F(chat_relay_test, failure_beforeFirstChunk_isRetriedElsewhere) {
  scriptFailures(attempt_error::Truncated, 0, 1);
  ASSERT_TRUE(run());
  ASSERT_EQ(2U, Engines.Attempts.size());
  EXPECT_NE(Engines.Attempts[0].upstream().id(),
            Engines.Attempts[1].upstream().id());
  EXPECT_NE(Engines.Attempts[0].id(), Engines.Attempts[1].id());
  EXPECT_EQ(1U, Bills.Committed.size());
}

TEST_F(chat_relay_test, failure_afterFirstChunk_isNotRetried) {
  scriptFailures(attempt_error::Truncated, 1, 1);
  auto Outcome = run();
  EXPECT_EQ(refusal_reason::AnswerInterrupted, Outcome.error().reason());
  EXPECT_EQ(run_state::Ran, Outcome.error().run());
  EXPECT_EQ(1U, Engines.Attempts.size());
  EXPECT_FALSE(Sink.complete());
  EXPECT_TRUE(Bills.Committed.empty());
}

TEST_F(chat_relay_test, versionWithdrawn_whileRequestWaits_isNotUsed) {
  Slots.WhileWaiting = [this] {
    put("/t/versions/m@1/stage", std::string("withdrawn"));
    Slots.WhileWaiting = nullptr;
  };
  ASSERT_TRUE(run());
  ASSERT_EQ(1U, Engines.Attempts.size());
  EXPECT_EQ(version_id("m@2"), Engines.Attempts[0].version());
}

TEST_F(chat_relay_test, versionRemovedFromAccount_betweenAttempts_isNotUsed) {
  scriptFailures(attempt_error::ConnectFailed, 0, 1);
  int Waits = 0;
  Slots.WhileWaiting = [&] {
    if (++Waits == 2)
      put("/t/accounts/a/versions", setting_value::text_list{"m@2"});
  };
  ASSERT_TRUE(run());
  EXPECT_EQ(version_id("m@2"), Engines.Attempts.back().version());
}

TEST_F(chat_relay_test, session_versionWithdrawnWhileWaiting_isRefused) {
  Slots.WhileWaiting = [this] {
    put("/t/versions/m@1/stage", std::string("withdrawn"));
  };
  auto Request =
      chat().withSession(session(account_id("a"), version_id("m@1")));
  auto Outcome = run(Request);
  EXPECT_EQ(refusal_reason::SessionVersionWithdrawn, Outcome.error().reason());
  EXPECT_EQ(run_state::NotRun, Outcome.error().run());
  EXPECT_TRUE(Engines.Attempts.empty());
}

TEST_F(chat_relay_test, dataCentre_takenOutWhileWaiting_getsNoRequests) {
  put("/platform/data-centres/x/state", std::string("in"));
  Slots.WhileWaiting = [this] {
    put("/platform/data-centres/x/state", std::string("out"));
  };
  auto Outcome = run();
  EXPECT_EQ(refusal_reason::NoUpstream, Outcome.error().reason());
  EXPECT_TRUE(Engines.Attempts.empty());
}

TEST_F(chat_relay_test, upstreams_allLeaving_getNoNewWork) {
  listUpstreams(/*Leaving=*/true);
  EXPECT_EQ(refusal_reason::NoUpstream, run().error().reason());
  EXPECT_TRUE(Engines.Attempts.empty());
}

TEST_F(chat_relay_test, crashingRequest_isRefusedAfterTwoCrashes) {
  for (int Send = 0; Send < 5; ++Send) {
    scriptFailures(attempt_error::Truncated, 0, 4);
    for (int Index = 0; Index < 100; ++Index)
      Retries.earn();
    run();
    Engines.Scripts.clear();
  }
  EXPECT_EQ(crash_tracker::DefaultLimit, Engines.Attempts.size());
  EXPECT_EQ(refusal_reason::CrashingRequest, run().error().reason());
}

TEST_F(chat_relay_test, closedGate_refusesWithoutRunning) {
  Gate.Closed = refusal_reason::SettingsStale;
  auto Outcome = run();
  EXPECT_EQ(refusal_reason::SettingsStale, Outcome.error().reason());
  EXPECT_EQ(run_state::NotRun, Outcome.error().run());
}

TEST_F(chat_relay_test, billingBacklog_atLimit_refusesWithoutRunning) {
  Bills.HasCapacity = false;
  auto Outcome = run();
  EXPECT_EQ(refusal_reason::BillingBacklogFull, Outcome.error().reason());
  EXPECT_TRUE(Engines.Attempts.empty());
}

TEST_F(chat_relay_test, lastAttemptNotRun_afterPossibleRun_isReportedUnknown) {
  scriptFailures(attempt_error::Silent, 0, 1);
  scriptFailures(attempt_error::ConnectFailed, 0, 3);
  auto Outcome = run();
  EXPECT_EQ(refusal_reason::RetriesExhausted, Outcome.error().reason());
  EXPECT_EQ(run_state::Unknown, Outcome.error().run());
}

TEST_F(chat_relay_test, retries_overManyRequests_stayWithinBudget) {
  constexpr int Requests = 1000;
  for (int Index = 0; Index < Requests; ++Index) {
    scriptFailures(attempt_error::ConnectFailed, 0, 4);
    run();
    Engines.Scripts.clear();
  }
  double Bound =
      Requests * (1 + retry_budget::Ratio) + retry_budget::MaxBalance;
  EXPECT_LE(static_cast<double>(Engines.Attempts.size()), Bound + 1);
}

RC_GTEST_FIXTURE_PROP(chat_relay_test,
                      anyAttemptFailures_runState_isReportedCorrectly,
                      (std::uint64_t Seed)) {
  relay_fixture F;
  seeded_random Rng(Seed);
  bool AnyMayHaveRun = false;
  for (int Index = 0; Index < 4; ++Index) {
    if (Rng.uniformBelow(3) == 0) {
      F.Engines.Scripts.push_back({2, std::nullopt});
      continue;
    }
    auto Error = allAttemptErrors()[Rng.uniformBelow(9)];
    F.Engines.Scripts.push_back({static_cast<int>(Rng.uniformBelow(2)), Error});
  }
  auto Scripts = F.Engines.Scripts;
  fake_sink Sink;
  auto Outcome =
      chat_relay(F.Deps).relay(F.chat(), Sink, [](const plan_step &) {});
  for (std::size_t I = 0; I < F.Engines.Attempts.size(); ++I) {
    bool DefinitelyNotRun = Scripts[I].Fault &&
                            definitelyNotRun(*Scripts[I].Fault) &&
                            Scripts[I].Pieces == 0;
    AnyMayHaveRun = AnyMayHaveRun || !DefinitelyNotRun;
  }
  RC_ASSERT(F.Bills.Committed.size() == (Outcome ? 1U : 0U));
  RC_ASSERT(Sink.complete() == Outcome.has_value());
  if (!Outcome && Outcome.error().run() == run_state::NotRun)
    RC_ASSERT(!AnyMayHaveRun);
  RC_ASSERT(F.Slots.Held == 0);
}
