#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

class limited_upstream_test : public forward_fixture {
protected:
  static upstream_script limitedTo(double Rate) {
    upstream_script Script;
    Script.Notice.RateLimit = Rate;
    return Script;
  }
  /// Lets all three upstreams name a limit, which this instance learns.
  void limitAll(double Rate) {
    for (const char *Id : {"u1", "u2", "u3"}) {
      Upstreams.Defaults[upstream_id(Id)] = limitedTo(Rate);
      learn(Id, Rate);
    }
  }
  void learn(const std::string &Id, double Rate) {
    Notices.note(upstream_incarnation(upstream_id(Id), 1),
                 upstream_notice(limitedTo(Rate).Notice));
  }
  /// Sends requests until one is refused; returns how many were served.
  int servedAtOnce() {
    constexpr int MaxRequests = 100;
    int Served = 0;
    while (Served < MaxRequests && run("/again/x").Status == 200)
      ++Served;
    return Served;
  }
};

} // namespace

TEST_F(limited_upstream_test, limit_boundsTheRequestsToEachUpstream) {
  limitAll(1);
  // One request, and another one in advance, at each of three upstreams.
  EXPECT_EQ(6, servedAtOnce());
  Clock.advance(milliseconds(1000));
  EXPECT_EQ(3, servedAtOnce());
}

TEST_F(limited_upstream_test, limitOfOneUpstream_leavesTheOthersOpen) {
  Upstreams.Defaults[upstream_id("u1")] = limitedTo(1);
  learn("u1", 1);
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(200, run("/again/x").Status);
  EXPECT_EQ(2, std::count_if(Upstreams.Attempts.begin(),
                             Upstreams.Attempts.end(), [](const auto &Attempt) {
                               return Attempt.upstream().id().text() == "u1";
                             }));
}

TEST_F(limited_upstream_test, limitUsedUp_refusalSaysWhenToComeBack) {
  limitAll(0.5);
  for (int I = 0; I < 3; ++I)
    EXPECT_EQ(200, run("/once/x").Status);
  auto Caller = run("/once/x");
  EXPECT_EQ(503, Caller.Status);
  EXPECT_EQ(refusal_reason::UpstreamsLimited, Caller.Reason);
  ASSERT_EQ(milliseconds(1000), Caller.RetryAfter);
  Clock.advance(Caller.RetryAfter - milliseconds(1));
  EXPECT_EQ(503, run("/once/x").Status);
  Clock.advance(milliseconds(1));
  EXPECT_EQ(200, run("/once/x").Status);
}

TEST_F(limited_upstream_test, refusedCallers_returnAtTheRateOfTheLimits) {
  limitAll(0.5);
  servedAtOnce();
  auto First = run("/once/x").RetryAfter;
  auto Second = run("/once/x").RetryAfter;
  // Three upstreams accept 1.5 requests per second together.
  EXPECT_NEAR(1000 / 1.5, static_cast<double>((Second - First).count()), 1);
}

TEST_F(limited_upstream_test, limitNoLongerNamed_isLifted) {
  learn("u1", 0.5);
  learn("u2", 0.5);
  learn("u3", 0.5);
  EXPECT_EQ(200, run("/again/x").Status);
  EXPECT_EQ(200, run("/again/x").Status);
  EXPECT_EQ(200, run("/again/x").Status);
  EXPECT_EQ(100, servedAtOnce());
}

TEST_F(limited_upstream_test, restartedUpstream_hasNoLimit) {
  limitAll(1);
  servedAtOnce();
  Upstreams.Defaults.clear();
  auto Restarted = listingOf("u1");
  Restarted.Incarnation = 2;
  Registry.insertIfNewer(upstream_listing(Restarted));
  EXPECT_EQ(100, servedAtOnce());
}

TEST_F(limited_upstream_test, limitReportedByPeer_isKeptTo) {
  for (const char *Id : {"u1", "u2", "u3"})
    Notices.merge({notice_report(upstream_incarnation(upstream_id(Id), 1), 1,
                                 /*Leaving=*/false, milliseconds(300))});
  for (const char *Id : {"u1", "u2", "u3"})
    Upstreams.Defaults[upstream_id(Id)] = limitedTo(1);
  EXPECT_EQ(6, servedAtOnce());
}

TEST_F(limited_upstream_test, retries_countAgainstTheLimit) {
  limitAll(1);
  upstream_script Failed = limitedTo(1);
  Failed.Status = 500;
  script({Failed, Failed, Failed, Failed, Failed, Failed});
  // Each request runs twice.
  EXPECT_EQ(500, run("/again/x").Status);
  EXPECT_EQ(500, run("/again/x").Status);
  EXPECT_EQ(500, run("/again/x").Status);
  EXPECT_EQ(6U, Upstreams.Attempts.size());
  EXPECT_EQ(503, run("/again/x").Status);
}

TEST_F(limited_upstream_test, smallModels_leaveTheAdvanceToLargerOnes) {
  limitAll(1);
  for (auto &[Id, Script] : Upstreams.Defaults)
    Script.Pieces = {event(1)};
  // Without low confidence, the small model's response is kept.
  for (int I = 0; I < 3; ++I)
    EXPECT_EQ(200, run("/sized/x").Status);
  EXPECT_EQ(503, run("/sized/x").Status);
  // Requests without a choice of models may use the advance.
  EXPECT_EQ(3, servedAtOnce());
}

TEST_F(limited_upstream_test, largerModelWithoutUpstream_smallResponseIsKept) {
  limitAll(0.5);
  for (auto &[Id, Script] : Upstreams.Defaults) {
    Script.Confidence = 1;
    Script.Pieces = {event(1)};
  }
  // Three requests are admitted: both models for the first caller, and the
  // small one for the second.
  EXPECT_EQ(200, run("/sized/x").Status);
  EXPECT_EQ(200, run("/sized/x").Status);
  EXPECT_EQ(3U, Upstreams.Attempts.size());
  EXPECT_EQ(503, run("/sized/x").Status);
}
