#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// Upstreams that pause for longer than the pause after which another one would
/// take over.
class silent_upstream_test : public forward_fixture {
protected:
  /// A stream of \p Last events that pauses once, after the first one.
  static upstream_script pausingStream(int Last) {
    upstream_script Script;
    Script.Pieces.clear();
    for (int Number = 1; Number <= Last; ++Number)
      Script.Pieces.push_back(event(Number));
    Script.SilentBefore = 1;
    return Script;
  }
  static std::string stream(int Last) {
    std::string Bytes;
    for (int Number = 1; Number <= Last; ++Number)
      Bytes += event(Number);
    return Bytes;
  }
  /// A response that pauses once, after its first piece of \p Bytes bytes.
  static upstream_script pausingBody(std::size_t Bytes) {
    upstream_script Script;
    Script.Pieces = {std::string(Bytes, 'x'), "end"};
    Script.SilentBefore = 1;
    return Script;
  }
  void leaveOneUpstream() {
    Registry.remove(upstream_id("u2"));
    Registry.remove(upstream_id("u3"));
  }
  void forbidRetries() {
    Retries.reconfigure(retry_rules(0, 0, milliseconds(10000)));
  }
};

} // namespace

// Guards against streams that are cut at a pause although nobody goes on with
// them.
TEST_F(silent_upstream_test, streamPauses_withoutOtherUpstream_isReadOn) {
  leaveOneUpstream();
  script({pausingStream(4)});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(4), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(silent_upstream_test, streamPauses_withoutRetryLeft_isReadOn) {
  forbidRetries();
  script({pausingStream(4)});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(4), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(silent_upstream_test, streamPauses_newConfigurationDropsRoute_isReadOn) {
  upstream_script Script = pausingStream(4);
  Script.BeforeRead = [this] { configure(2, {}); };
  script({Script});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(4), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(silent_upstream_test, streamPauses_withOtherUpstream_resumesThere) {
  upstream_script Rest;
  Rest.Pieces = {event(2), event(3)};
  script({pausingStream(4), Rest});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(3), Caller.Body);
  EXPECT_EQ(2U, Upstreams.Attempts.size());
}

// Guards against long responses that are cut at a pause although they cannot be
// repeated any more.
TEST_F(silent_upstream_test, bodyPauses_afterItHasBegun_isReadOn) {
  constexpr std::size_t LongBody = 300UL * 1024;
  script({pausingBody(LongBody)});
  auto Caller = run("/again/x");
  EXPECT_EQ(LongBody + 3, Caller.Body.size());
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(silent_upstream_test, bodyPauses_withoutOtherUpstream_isReadOn) {
  leaveOneUpstream();
  script({pausingBody(1)});
  auto Caller = run("/again/x");
  EXPECT_EQ(200, Caller.Status);
  EXPECT_EQ("xend", Caller.Body);
}

TEST_F(silent_upstream_test, bodyPauses_withOtherUpstream_isRepeatedThere) {
  script({pausingBody(1), upstream_script()});
  EXPECT_EQ("whole", run("/again/x").Body);
  EXPECT_EQ(2U, Upstreams.Attempts.size());
}

TEST_F(silent_upstream_test, silenceBeyondTheTimeLimit_endsTheCall) {
  leaveOneUpstream();
  upstream_script Script;
  Script.Pieces = {event(1)};
  Script.ReadError = attempt_error::Silent;
  Script.BeforeRead = [this] { Clock.advance(milliseconds(2500)); };
  script({Script});
  EXPECT_TRUE(run("/stream/x").Abandoned);
}

// Guards against streams that are cut since the next attempt was reserved under
// an older configuration.
TEST_F(silent_upstream_test,
       streamPauses_newConfigurationForbidsRepeats_isReadOn) {
  upstream_script Script = pausingStream(4);
  Script.BeforeRead = [this] {
    configure(2, {forward_route(routeOf("/stream/", route_kind::Stream, 3))});
  };
  script({Script});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(4), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}
