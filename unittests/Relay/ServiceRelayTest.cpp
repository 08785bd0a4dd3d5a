#include "Support/RelayFixture.h"
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

using verdict = claim_verdict::kind;

namespace {

class service_relay_test : public testing::Test, protected relay_fixture {
protected:
  tl::expected<service_response, refusal> run(const service_call &Call) {
    return service_relay(Deps).relay(Call);
  }
  tl::expected<service_response, refusal> runFirst() {
    return run(order(/*MayBeResend=*/false));
  }
  service_call stock() const {
    return service_call(request_id("r"), account_id("a"), service_id("desk"),
                        "stock", "{}");
  }
};

} // namespace

TEST_F(service_relay_test, order_granted_runsOnceAndIsRecordedAndBilled) {
  ASSERT_TRUE(runFirst());
  EXPECT_EQ(1, Services.Runs);
  ASSERT_EQ(1U, Claims.Finished.size());
  EXPECT_EQ("done", Claims.Finished[0].body());
  EXPECT_EQ(1U, Bills.Committed.size());
}

TEST_F(service_relay_test, order_withoutTicket_isRefusedAsNotRun) {
  service_call Call(request_id("r"), account_id("a"), service_id("desk"),
                    "place", "{}");
  auto Reply = run(Call);
  EXPECT_EQ(refusal_reason::TicketRequired, Reply.error().reason());
  EXPECT_EQ(run_state::NotRun, Reply.error().run());
}

TEST_F(service_relay_test, order_ticketHeldElsewhere_isUnknownAndNotRunHere) {
  Claims.Verdict = claim_verdict(verdict::HeldElsewhere);
  auto Reply = runFirst();
  EXPECT_EQ(refusal_reason::TicketHeldElsewhere, Reply.error().reason());
  EXPECT_EQ(run_state::Unknown, Reply.error().run());
  EXPECT_EQ(0, Services.Runs);
}

TEST_F(service_relay_test, order_finishedBefore_returnsRecordedResponse) {
  Claims.Verdict =
      claim_verdict(verdict::Finished, recorded_outcome(200, "kept"));
  auto Reply = runFirst();
  EXPECT_EQ("kept", Reply->body());
  EXPECT_EQ(0, Services.Runs);
}

TEST_F(service_relay_test, logUnavailable_firstSendIsNotRun_resendIsUnknown) {
  Claims.Verdict = claim_verdict(verdict::LogUnavailable);
  EXPECT_EQ(run_state::NotRun, runFirst().error().run());
  auto Resent = run(order(/*MayBeResend=*/true));
  EXPECT_EQ(run_state::Unknown, Resent.error().run());
  EXPECT_EQ(0, Services.Runs);
}

TEST_F(service_relay_test,
       failure_afterDispatch_isReportedUnknownAndNotRetried) {
  for (auto Error : allAttemptErrors()) {
    if (definitelyNotRun(Error) || Error == attempt_error::CallerGone)
      continue;
    relay_fixture F;
    F.Services.Scripts.push_back({true, Error, 0});
    auto Reply = service_relay(F.Deps).relay(F.order(false));
    EXPECT_EQ(refusal_reason::OutcomeUnknown, Reply.error().reason());
    EXPECT_EQ(run_state::Unknown, Reply.error().run());
    EXPECT_EQ(1, F.Services.Runs);
    EXPECT_EQ(0, F.Claims.Released);
  }
}

TEST_F(service_relay_test,
       failedConnections_areRetriedElsewhereThenClaimIsReleased) {
  for (int Index = 0; Index < 3; ++Index)
    Services.Scripts.push_back({false, attempt_error::ConnectFailed, 0});
  auto Reply = runFirst();
  EXPECT_EQ(refusal_reason::RetriesExhausted, Reply.error().reason());
  EXPECT_EQ(run_state::NotRun, Reply.error().run());
  EXPECT_EQ(1, Claims.Released);
}

TEST_F(service_relay_test, gateClosed_whileWaitingForSlot_releasesTicket) {
  Slots.WhileWaiting = [this] { Gate.Closed = refusal_reason::SettingsStale; };
  auto Reply = runFirst();
  EXPECT_EQ(refusal_reason::SettingsStale, Reply.error().reason());
  EXPECT_EQ(run_state::NotRun, Reply.error().run());
  EXPECT_EQ(1, Claims.Released);
  EXPECT_EQ(0, Services.Runs);
}

TEST_F(service_relay_test, ticketOfAnotherAccount_isRefused) {
  service_call Call(request_id("r"), account_id("a"), service_id("desk"),
                    "place", "{}");
  auto OtherTicket = Tickets.issue(account_id("b"), log_offset());
  auto Reply = run(Call.withTicket(OtherTicket, false));
  EXPECT_EQ(refusal_reason::TicketInvalid, Reply.error().reason());
}

TEST_F(service_relay_test, expiredTicket_onResend_isUnknown) {
  auto Call = order(/*MayBeResend=*/true);
  Clock.advance(seconds(601));
  auto Reply = run(Call);
  EXPECT_EQ(refusal_reason::TicketExpired, Reply.error().reason());
  EXPECT_EQ(run_state::Unknown, Reply.error().run());
}

TEST_F(service_relay_test, repeatableCall_afterFailure_isRetried) {
  Services.Scripts.push_back({true, attempt_error::Truncated, 0});
  ASSERT_TRUE(run(stock()));
  EXPECT_EQ(2, Services.Runs);
  EXPECT_EQ(1U, Bills.Committed.size());
}

TEST_F(service_relay_test, callRefusedByService_isForwardedAndNotBilled) {
  Services.Scripts.push_back({true, std::nullopt, 409});
  auto Reply = runFirst();
  ASSERT_TRUE(Reply);
  EXPECT_EQ(409, Reply->status());
  EXPECT_TRUE(Bills.Committed.empty());
}

TEST_F(service_relay_test, baseline_retryOnAnyFailure_runsOrderTwice) {
  // A plain retry loop repeats the call after a lost reply.
  Services.Scripts.push_back({true, attempt_error::Truncated, 0});
  service_attempt Attempt("x", order(false), upstream_record());
  if (!Services.call(Attempt))
    Services.call(Attempt);
  EXPECT_EQ(2, Services.Runs);
}

RC_GTEST_FIXTURE_PROP(
    service_relay_test,
    order_underAnyFailures_runsAtMostOnceAndIsReportedCorrectly,
    (std::uint64_t Seed)) {
  relay_fixture F;
  seeded_random Rng(Seed);
  for (int Index = 0; Index < 4; ++Index) {
    if (Rng.uniformBelow(3) == 0) {
      F.Services.Scripts.push_back({true, std::nullopt, 200});
      continue;
    }
    auto Error = allAttemptErrors()[Rng.uniformBelow(9)];
    bool Runs = !definitelyNotRun(Error) && Rng.uniformBelow(2) == 0;
    F.Services.Scripts.push_back({Runs, Error, 0});
  }
  F.Claims.Verdict = claim_verdict(
      Rng.uniformBelow(4) == 0 ? verdict::LogUnavailable : verdict::Granted);
  auto Reply = service_relay(F.Deps).relay(F.order(false));
  RC_ASSERT(F.Services.Runs <= 1);
  if (Reply)
    RC_ASSERT(F.Services.Runs == 1);
  else if (Reply.error().run() == run_state::NotRun)
    RC_ASSERT(F.Services.Runs == 0);
  RC_ASSERT(F.Slots.Held == 0);
}
