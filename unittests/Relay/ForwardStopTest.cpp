#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// Requests at an instance that stops.
class forward_stop_test : public forward_fixture {
protected:
  forward_stop_test() {
    stopIn(milliseconds(1750));
    ServingStatus.Phase = serving_phase::Draining;
  }

  void stopIn(milliseconds Time) {
    ServingStatus.StopsAt = Clock.monotonicNow() + Time;
  }
  forward_call::fields callWithin(const std::string &Path, int DeadlineMs) {
    forward_call::fields Call = callOf(Path);
    Call.Deadline = milliseconds(DeadlineMs);
    return Call;
  }
};

} // namespace

// Guards against requests that are admitted late in a shutdown, run, and are
// cut when the process ends.
TEST_F(forward_stop_test, requestThatMayOutlastTheProcess_isRefusedAsNotRun) {
  for (const char *Path : {"/once/x", "/again/x"}) {
    auto Caller = run(callWithin(Path, 3500));
    EXPECT_EQ(503, Caller.Status);
    EXPECT_EQ(refusal_reason::Draining, Caller.Reason);
    EXPECT_GT(Caller.RetryAfter.count(), 0);
  }
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_stop_test, requestThatEndsBeforeTheProcess_isServed) {
  EXPECT_EQ(200, run(callWithin("/once/x", 1500)).Status);
  EXPECT_EQ(200, run(callWithin("/again/x", 1500)).Status);
}

TEST_F(forward_stop_test, stream_isRefusedHoweverShort) {
  EXPECT_EQ(503, run(callWithin("/stream/x", 500)).Status);
  auto Resumed = callWithin("/stream/x", 500);
  Resumed.LastEvent = 3;
  EXPECT_EQ(503, run(Resumed).Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_stop_test, requestWithoutDeadline_isMeasuredByItsRoute) {
  auto Call = callOf("/once/x");
  Call.Deadline.reset();
  EXPECT_EQ(503, run(Call).Status);
  EXPECT_TRUE(Upstreams.Attempts.empty());
}

TEST_F(forward_stop_test, redirecting_longRequestIsServedUntilTheStop) {
  ServingStatus.Phase = serving_phase::Redirecting;
  EXPECT_EQ(200, run(callWithin("/once/x", 3500)).Status);
  ASSERT_EQ(1U, Upstreams.Attempts.size());
  EXPECT_EQ(1750, Upstreams.Attempts[0].timeLeft().count());
}

TEST_F(forward_stop_test, requestNotSentWhenTheStopIsNear_isRefusedAsNotRun) {
  ServingStatus.Phase = serving_phase::Redirecting;
  upstream_script Unreachable = failing(attempt_error::ConnectFailed);
  Unreachable.Before = [this] {
    ServingStatus.Phase = serving_phase::Draining;
  };
  script({Unreachable});
  EXPECT_EQ(503, run(callWithin("/once/x", 3500)).Status);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_stop_test, requestThatRanWhenTheStopIsNear_isNotReportedNotRun) {
  ServingStatus.Phase = serving_phase::Redirecting;
  upstream_script Crashed = failing(attempt_error::Truncated);
  Crashed.Before = [this] { ServingStatus.Phase = serving_phase::Draining; };
  script({Crashed});
  EXPECT_EQ(502, run(callWithin("/once/x", 3500)).Status);
  script({Crashed});
  EXPECT_EQ(200, run(callWithin("/again/x", 1500)).Status);
}

TEST_F(forward_stop_test, requestThatRunsAtTheStop_getsATimeout) {
  ServingStatus.Phase = serving_phase::Redirecting;
  script({failing(attempt_error::TimeLimit)});
  EXPECT_EQ(504, run(callWithin("/once/x", 3500)).Status);
}

TEST_F(forward_stop_test, streamThatRunsAtTheStop_doesNotLookComplete) {
  ServingStatus.Phase = serving_phase::Redirecting;
  upstream_script Running;
  Running.Pieces = {event(1)};
  Running.ReadError = attempt_error::TimeLimit;
  script({Running});
  auto Caller = run(callWithin("/stream/x", 15000));
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_FALSE(Caller.Ended);
}
