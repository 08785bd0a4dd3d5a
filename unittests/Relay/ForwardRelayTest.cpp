#include "Support/ForwardFixture.h"
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class forward_relay_test : public forward_fixture {};

} // namespace

TEST_F(forward_relay_test, completeResponse_isForwardedUnchanged) {
  auto Caller = run("/once/x");
  EXPECT_EQ(200, Caller.Status);
  EXPECT_EQ("whole", Caller.Body);
  ASSERT_EQ(1U, Upstreams.Attempts.size());
  EXPECT_EQ("mill", Upstreams.Attempts[0].account().text());
}

TEST_F(forward_relay_test, noConfiguration_isRefusedAsUnavailable) {
  ServingStatus.Phase = serving_phase::Starting;
  auto Caller = run("/nowhere/x");
  EXPECT_EQ(503, Caller.Status);
  EXPECT_GT(Caller.RetryAfter.count(), 0);
}

TEST_F(forward_relay_test, unknownRoute_isRefusedWithoutAttempt) {
  EXPECT_EQ(404, run("/nowhere/x").Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test,
       unknownRoute_withStaleSettings_isRefusedAsUnavailable) {
  ServingStatus.Age = milliseconds(10000);
  EXPECT_EQ(503, run("/nowhere/x").Status);
}

TEST_F(forward_relay_test, unknownKey_isRefused) {
  auto Call = callOf("/once/x");
  Call.Key = "other";
  EXPECT_EQ(401, run(Call).Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test,
       atMostOnce_mayHaveRun_isNeitherRetriedNorReportedNotRun) {
  for (auto Error : {attempt_error::Truncated, attempt_error::FirstByteTimeout,
                     attempt_error::Malformed, attempt_error::Crossed,
                     attempt_error::Silent}) {
    Upstreams.Attempts.clear();
    script({failing(Error)});
    auto Caller = run("/once/x");
    EXPECT_EQ(502, Caller.Status);
    EXPECT_EQ(0, Caller.RetryAfter.count());
    EXPECT_EQ(1U, Upstreams.Attempts.size());
  }
}

TEST_F(forward_relay_test, atMostOnce_connectFailed_isRetriedElsewhere) {
  script({failing(attempt_error::ConnectFailed)});
  EXPECT_EQ(200, run("/once/x").Status);
  ASSERT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_NE(Upstreams.Attempts[0].upstream().id(),
            Upstreams.Attempts[1].upstream().id());
}

TEST_F(forward_relay_test, atMostOnce_rejectedEverywhere_isReportedNotRun) {
  upstream_script Full;
  Full.Status = 503;
  Full.NotRun = true;
  script({Full, Full, Full, Full});
  auto Caller = run("/once/x");
  EXPECT_EQ(503, Caller.Status);
  EXPECT_GT(Caller.RetryAfter.count(), 0);
}

// Guards against orders that are placed twice since the caller was told that
// the first one had not run.
TEST_F(forward_relay_test, atMostOnce_statusOfRequestThatRan_promisesNothing) {
  for (int Status : {408, 429, 503}) {
    upstream_script Ran;
    Ran.Status = Status;
    for (const char *Path : {"/once/x", "/fixed/x"}) {
      Upstreams.Attempts.clear();
      script({Ran});
      auto Caller = run(Path);
      EXPECT_EQ(502, Caller.Status);
      EXPECT_EQ(0, Caller.RetryAfter.count());
      EXPECT_EQ(1U, Upstreams.Attempts.size());
    }
  }
}

TEST_F(forward_relay_test, repeatable_statusOfRequestThatRan_isForwarded) {
  upstream_script Limited;
  Limited.Status = 429;
  script({Limited});
  EXPECT_EQ(429, run("/again/x").Status);
}

TEST_F(forward_relay_test, upstreamServerError_isForwarded) {
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Pieces = {"sorry"};
  script({Failed});
  auto Caller = run("/once/x");
  EXPECT_EQ(500, Caller.Status);
  EXPECT_EQ("sorry", Caller.Body);
}

TEST_F(forward_relay_test, idempotent_afterFailure_isRetriedElsewhere) {
  upstream_script Failed;
  Failed.Status = 500;
  script({Failed});
  EXPECT_EQ(200, run("/again/x").Status);
  EXPECT_EQ(2U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, idempotent_failingTwice_staysWithinAttemptLimit) {
  upstream_script Failed;
  Failed.Status = 500;
  script({Failed, Failed, Failed});
  EXPECT_EQ(500, run("/again/x").Status);
  EXPECT_EQ(2U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, truncatedResponse_isReplacedByCompleteOne) {
  upstream_script Broken;
  Broken.Pieces = {"wh"};
  Broken.ReadError = attempt_error::Truncated;
  script({Broken});
  auto Caller = run("/again/x");
  EXPECT_EQ("whole", Caller.Body);
}

TEST_F(forward_relay_test, longResponse_truncated_isAbandonedAndNotRetried) {
  upstream_script Broken;
  Broken.Pieces = {std::string(300UL * 1024, 'x')};
  Broken.ReadError = attempt_error::Truncated;
  script({Broken});
  auto Caller = run("/again/x");
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_FALSE(Caller.Ended);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, truncatedResponse_ofAtMostOnce_isNotForwarded) {
  upstream_script Broken;
  Broken.Pieces = {"wh"};
  Broken.ReadError = attempt_error::Truncated;
  script({Broken});
  auto Caller = run("/once/x");
  EXPECT_EQ(502, Caller.Status);
  EXPECT_EQ("", Caller.Body);
}

TEST_F(forward_relay_test, unverifiedSuccess_isNotForwarded) {
  upstream_script Unmarked;
  Unmarked.Verified = false;
  script({Unmarked});
  EXPECT_EQ(502, run("/once/x").Status);
}

TEST_F(forward_relay_test, otherUpstreamAtAddress_isNotUsedAgain) {
  upstream_script Other;
  Other.Status = 421;
  Other.FromOtherUpstream = true;
  script({Other});
  EXPECT_EQ(200, run("/once/x").Status);
  EXPECT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_EQ(2U, Registry.serving(service_id("engines")).size());
}

TEST_F(forward_relay_test, leavingUpstreams_getNoRequests) {
  for (const char *Id : {"u1", "u2", "u3"}) {
    auto Fields = listingOf(Id);
    Fields.Leaving = true;
    Fields.Sequence = 2;
    Registry.insertIfNewer(upstream_listing(Fields));
  }
  EXPECT_EQ(503, run("/again/x").Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test, closedDataCentre_getsNoRequests) {
  Centres.replace({data_centre_id("north")});
  EXPECT_EQ(503, run("/again/x").Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test, keyRevokedBetweenAttempts_preventsSecondAttempt) {
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Before = [this] {
    Tables.replaceIfNewer(route_table(
        9, routes(), {},
        api_key_policy::onlyAccounts(
            {api_key_account(account_id("mill"), {"new"}, std::nullopt)})));
  };
  script({Failed});
  EXPECT_EQ(502, run("/again/x").Status);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, policyWithoutAccounts_refusesEveryKey) {
  configure(9, routes(), api_key_policy::onlyAccounts({}));
  for (const char *Key : {"key", "stranger", ""}) {
    auto Call = callOf("/again/x");
    Call.Key = Key;
    EXPECT_EQ(401, run(Call).Status) << Key;
  }
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test, policyWithoutAccounts_publicRouteIsServed) {
  auto Public = routeOf("/again/", route_kind::Idempotent, 2);
  Public.Public = true;
  configure(9, {forward_route(Public)}, api_key_policy::onlyAccounts({}));
  EXPECT_EQ(200, run("/again/x").Status);
}

TEST_F(forward_relay_test, keyNotRequired_servesWithoutAccount) {
  configure(9, routes(), api_key_policy::anyCaller());
  auto Call = callOf("/again/x");
  Call.Key = "";
  EXPECT_EQ(200, run(Call).Status);
  ASSERT_EQ(1U, Upstreams.Attempts.size());
  EXPECT_EQ("", Upstreams.Attempts[0].account().text());
}

TEST_F(forward_relay_test,
       lastAccountRemovedBetweenAttempts_preventsSecondAttempt) {
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Before = [this] {
    configure(9, routes(), api_key_policy::onlyAccounts({}));
  };
  script({Failed});
  EXPECT_EQ(502, run("/again/x").Status);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, routeTurnedPublicBetweenAttempts_hasNoAccount) {
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Before = [this] {
    auto Public = routeOf("/again/", route_kind::Idempotent, 2);
    Public.Public = true;
    configure(9, {forward_route(Public)});
  };
  script({Failed});
  EXPECT_EQ(200, run("/again/x").Status);
  ASSERT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_EQ("mill", Upstreams.Attempts[0].account().text());
  EXPECT_EQ("", Upstreams.Attempts[1].account().text());
}

TEST_F(forward_relay_test, routeTurnedAtMostOnceWhileRunning_runsOnce) {
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Before = [this] {
    configure(9,
              {forward_route(routeOf("/again/", route_kind::AtMostOnce, 2))});
  };
  script({Failed});
  EXPECT_EQ(502, run("/again/x").Status);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, shorterTimeout_appliesToRunningRequest) {
  upstream_script Slow = failing(attempt_error::FirstByteTimeout);
  Slow.Before = [this] {
    auto Short = routeOf("/again/", route_kind::Idempotent, 2);
    Short.Timeout = milliseconds(500);
    configure(5, {forward_route(Short)});
    Clock.advance(milliseconds(600));
  };
  script({Slow});
  EXPECT_EQ(504, run("/again/x").Status);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, timeUpBeforeFirstAttempt_isReportedNotRun) {
  auto Call = callOf("/once/x");
  Call.Arrived = Clock.monotonicNow() - milliseconds(20000);
  EXPECT_EQ(503, run(Call).Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test, tooLittleTimeLeft_isRefusedWithoutAttempt) {
  auto Call = callOf("/once/x");
  Call.Deadline = milliseconds(99);
  EXPECT_EQ(503, run(Call).Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test, timeLeft_isPassedToUpstream) {
  auto Call = callOf("/once/x");
  Call.Deadline = milliseconds(900);
  Clock.advance(milliseconds(300));
  run(Call);
  EXPECT_EQ(milliseconds(600), Upstreams.Attempts[0].timeLeft());
}

TEST_F(forward_relay_test, callerGone_startsNoFurtherAttempt) {
  recording_caller Caller;
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Before = [&] { Caller.Gone = true; };
  script({Failed});
  runFor(callOf("/again/x"), Caller);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, crashingRequest_isRefusedAfterThreeUpstreams) {
  for (int Round = 0; Round < 3; ++Round) {
    script({failing(attempt_error::Truncated),
            failing(attempt_error::Truncated),
            failing(attempt_error::Truncated)});
    run("/stream/x");
  }
  EXPECT_EQ(3U, Upstreams.Attempts.size());
  EXPECT_EQ(502, run("/stream/x").Status);
  EXPECT_EQ(3U, Upstreams.Attempts.size());
}

TEST_F(forward_relay_test, retryBudgetSpent_isRefusedWithoutRetry) {
  constexpr int Requests = 10;
  constexpr double Ratio = 0.9;
  while (Retries.spend(service_id("engines"), 1)) {
  }
  upstream_script Failed;
  Failed.Status = 500;
  int NotRetried = 0;
  for (int I = 0; I < Requests; ++I) {
    script({Failed, Failed});
    NotRetried += run("/again/x").Status == 502 ? 1 : 0;
  }
  EXPECT_GT(NotRetried, 0);
  EXPECT_LE(Upstreams.Attempts.size(), Requests + Ratio * Requests);
}

TEST_F(forward_relay_test, draining_acceptsShortRequestsButNoStreams) {
  ServingStatus.Phase = serving_phase::Draining;
  EXPECT_EQ(503, run("/stream/x").Status);
  EXPECT_EQ(200, run("/once/x").Status);
}

TEST_F(forward_relay_test, ended_refusesRequests) {
  ServingStatus.Phase = serving_phase::Ended;
  EXPECT_EQ(503, run("/once/x").Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_relay_test, trialVersion_isUsedByItsSessionsOnly) {
  auto Fields = listingOf("new");
  Fields.Version = version_id("v2");
  RollOuts.noteEstablished(service_id("engines"), version_id("v1"));
  Registry.insertIfNewer(upstream_listing(Fields));
  int NewVersionCount = 0;
  for (int I = 0; I < 400; ++I)
    run("/once/x");
  for (const auto &Attempt : Upstreams.Attempts)
    NewVersionCount += Attempt.upstream().id() == upstream_id("new") ? 1 : 0;
  EXPECT_EQ(0, NewVersionCount);
  RollOuts.noteOrder(roll_out_order(service_id("engines"), version_id("v2"),
                                    milliseconds(20000), log_offset(1)));
  Upstreams.Attempts.clear();
  for (int I = 0; I < 400; ++I)
    run("/once/x");
  for (const auto &Attempt : Upstreams.Attempts)
    NewVersionCount += Attempt.upstream().id() == upstream_id("new") ? 1 : 0;
  EXPECT_GT(NewVersionCount, 0);
  EXPECT_LT(NewVersionCount, 60);
}

RC_GTEST_FIXTURE_PROP(forward_relay_test,
                      atMostOnce_underAnyFaults_runsOnceAndIsReportedCorrectly,
                      ()) {
  // Each fault below 2 means that the attempt did not run; after any other it
  // may have run.
  auto Faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 7));
  int MayHaveRun = 0;
  for (int Fault : Faults) {
    upstream_script Script;
    if (Fault == 0)
      Script.OpenError = attempt_error::ConnectFailed;
    if (Fault == 1) {
      Script.NotRun = true;
      Script.Status = 503;
    }
    if (Fault == 2)
      Script.OpenError = attempt_error::Truncated;
    if (Fault == 3)
      Script.ReadError = attempt_error::Truncated;
    if (Fault == 4)
      Script.Status = 500;
    if (Fault == 5)
      Script.Verified = false;
    if (Fault > 1)
      Script.Before = [&] { ++MayHaveRun; };
    Upstreams.Scripts.push_back(Script);
  }
  auto Caller = run("/once/x");
  RC_ASSERT(MayHaveRun <= 1);
  bool ReportedNotRun = Caller.Status == 503 || Caller.Status == 429;
  RC_ASSERT(!ReportedNotRun || MayHaveRun == 0);
  RC_ASSERT(Caller.Status != 200 || Caller.Body == "whole");
  Upstreams.Scripts.clear();
}

TEST_F(forward_relay_test, equalUpstreams_areUsedAboutEqually) {
  constexpr int Requests = 300;
  std::map<std::string, int> Uses;
  for (int I = 0; I < Requests; ++I) {
    script({upstream_script()});
    run("/once/x");
    ++Uses[Upstreams.Attempts.back().upstream().id().text()];
  }
  for (const char *Id : {"u1", "u2", "u3"})
    EXPECT_GT(Uses[Id], Requests / 5) << Id;
}
