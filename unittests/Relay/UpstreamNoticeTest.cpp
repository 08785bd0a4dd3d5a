#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// What upstreams announce in their responses and peers pass on.
class upstream_notice_test : public forward_fixture {
protected:
  std::size_t attemptsAt(const std::string &Id) const {
    return static_cast<std::size_t>(
        std::count_if(Upstreams.Attempts.begin(), Upstreams.Attempts.end(),
                      [&](const auto &Attempt) {
                        return Attempt.upstream().id().text() == Id;
                      }));
  }
  void runMany() {
    for (int I = 0; I < 50; ++I)
      run("/again/x");
  }
  /// Lets the upstream turn requests away and ask for a pause.
  void pause(const std::string &Id, milliseconds Time) {
    scriptOf(Id).Status = 503;
    scriptOf(Id).NotRun = true;
    scriptOf(Id).Notice.Pause = Time;
  }
  upstream_script &scriptOf(const std::string &Id) {
    return Upstreams.Defaults[upstream_id(Id)];
  }
};

} // namespace

TEST_F(upstream_notice_test, upstreamThatAnnouncesToLeave_getsNothingMore) {
  scriptOf("u1").Notice.Leaving = true;
  runMany();
  EXPECT_EQ(1U, attemptsAt("u1"));
  EXPECT_EQ(49U, attemptsAt("u2") + attemptsAt("u3"));
}

TEST_F(upstream_notice_test, renewedListing_doesNotBringALeavingUpstreamBack) {
  scriptOf("u1").Notice.Leaving = true;
  runMany();
  auto Renewed = listingOf("u1");
  Renewed.Sequence = 5;
  Registry.insertIfNewer(upstream_listing(Renewed));
  runMany();
  EXPECT_EQ(1U, attemptsAt("u1"));
}

TEST_F(upstream_notice_test, restartedUpstream_isNoLongerLeaving) {
  scriptOf("u1").Notice.Leaving = true;
  runMany();
  Upstreams.Defaults.clear();
  auto Restarted = listingOf("u1");
  Restarted.Incarnation = 2;
  Registry.insertIfNewer(upstream_listing(Restarted));
  runMany();
  EXPECT_GT(attemptsAt("u1"), 1U);
}

TEST_F(upstream_notice_test, leavingReportedByPeer_upstreamGetsNothing) {
  Notices.merge(
      {notice_report(upstream_incarnation(upstream_id("u1"), 1), std::nullopt,
                     /*Leaving=*/true, milliseconds(300))});
  runMany();
  EXPECT_EQ(0U, attemptsAt("u1"));
}

TEST_F(upstream_notice_test, refusalOfALeavingUpstream_countsToo) {
  scriptOf("u1").Notice.Leaving = true;
  scriptOf("u1").Status = 503;
  scriptOf("u1").NotRun = true;
  runMany();
  // By then no failure counts against the upstream any more.
  Clock.advance(seconds(3600));
  runMany();
  EXPECT_EQ(1U, attemptsAt("u1"));
}

TEST_F(upstream_notice_test, upstreamThatAsksForAPause_getsNothingMeanwhile) {
  Registry.remove(upstream_id("u2"));
  Registry.remove(upstream_id("u3"));
  pause("u1", milliseconds(3000));
  run("/again/x");
  Clock.advance(milliseconds(2999));
  // Another response, to an earlier request, does not end the pause.
  Notices.note(upstream_incarnation(upstream_id("u1"), 1), upstream_notice());
  run("/again/x");
  EXPECT_EQ(1U, attemptsAt("u1"));
  Clock.advance(milliseconds(1));
  run("/again/x");
  EXPECT_EQ(2U, attemptsAt("u1"));
}

TEST_F(upstream_notice_test, allUpstreamsPaused_refusalSaysWhenToComeBack) {
  for (const char *Id : {"u1", "u2", "u3"})
    pause(Id, milliseconds(3000));
  EXPECT_EQ(503, run("/once/x").Status);
  EXPECT_EQ(3U, Upstreams.Attempts.size());
  Clock.advance(milliseconds(500));
  auto Caller = run("/once/x");
  EXPECT_EQ(3U, Upstreams.Attempts.size());
  EXPECT_EQ(503, Caller.Status);
  EXPECT_EQ(refusal_reason::UpstreamsLimited, Caller.Reason);
  EXPECT_GE(Caller.RetryAfter, milliseconds(2500));
}

TEST_F(upstream_notice_test, endlessPause_endsAfterTheMaximum) {
  for (const char *Id : {"u1", "u2", "u3"})
    pause(Id, milliseconds(86400000));
  EXPECT_EQ(503, run("/once/x").Status);
  Upstreams.Defaults.clear();
  Clock.advance(notice_tracker::MaxPause);
  EXPECT_EQ(200, run("/once/x").Status);
}

TEST_F(upstream_notice_test, pause_isNotPassedOnToPeers) {
  pause("u1", milliseconds(3000));
  runMany();
  notice_tracker Peer(Clock);
  Peer.merge(Notices.report());
  EXPECT_FALSE(
      Peer.conditionOf(upstream_incarnation(upstream_id("u1"), 1)).pauseLeft());
}
