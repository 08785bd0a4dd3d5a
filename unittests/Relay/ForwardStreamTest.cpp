#include "Support/ForwardFixture.h"
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class forward_stream_test : public forward_fixture {
protected:
  static upstream_script events(int First, int Last) {
    upstream_script Script;
    Script.Pieces.clear();
    for (int Number = First; Number <= Last; ++Number)
      Script.Pieces.push_back(event(Number));
    return Script;
  }
  static upstream_script brokenAfter(int First, int Last) {
    upstream_script Script = events(First, Last);
    Script.Pieces.push_back("id: 99\nda");
    Script.ReadError = attempt_error::Truncated;
    return Script;
  }
  /// A stream that ends without an error, but in the middle of an event.
  static upstream_script endingInsideEventAfter(int First, int Last) {
    upstream_script Script = brokenAfter(First, Last);
    Script.ReadError = std::nullopt;
    return Script;
  }
  static upstream_script withConfidence(upstream_script Script,
                                        double Confidence) {
    Script.Confidence = Confidence;
    return Script;
  }
  static std::string stream(int First, int Last) {
    std::string Bytes;
    for (int Number = First; Number <= Last; ++Number)
      Bytes += event(Number);
    return Bytes;
  }
};

} // namespace

TEST_F(forward_stream_test, completeStream_isForwardedInOrder) {
  script({events(1, 5)});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(1, 5), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(forward_stream_test, brokenStream_resumesElsewhereWithoutGapOrRepeat) {
  script({brokenAfter(1, 3), events(4, 6)});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(1, 6), Caller.Body);
  ASSERT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_EQ(3U, *Upstreams.Attempts[1].lastEvent());
}

TEST_F(forward_stream_test,
       bytesWithoutEnd_areNoEvents_streamResumesElsewhere) {
  upstream_script Endless = events(1, 2);
  constexpr std::size_t PieceBytes = 16UL * 1024;
  constexpr std::size_t Pieces = 4096;
  Endless.Pieces.resize(Pieces, std::string(PieceBytes, 'x'));
  std::size_t Reads = 0;
  Endless.BeforeRead = [&Reads] { ++Reads; };
  script({Endless, events(3, 4)});
  EXPECT_EQ(stream(1, 4), run("/stream/x").Body);
  EXPECT_LE(Reads, 3 + event_splitter::MaxEventBytes / PieceBytes);
}

TEST_F(forward_stream_test,
       byteNowAndThen_withoutEvents_streamResumesElsewhere) {
  upstream_script Stalled = events(1, 2);
  constexpr std::size_t Pieces = 1000;
  Stalled.Pieces.resize(Pieces, "x");
  std::size_t Reads = 0;
  Stalled.BeforeRead = [&] {
    ++Reads;
    Clock.advance(milliseconds(100));
  };
  script({Stalled, events(3, 4)});
  EXPECT_EQ(stream(1, 4), run("/stream/x").Body);
  EXPECT_LT(Reads, 100U);
}

TEST_F(forward_stream_test, slowEvents_areCountedAgainstTheirVersion) {
  roll_out_order Order(service_id("engines"), version_id("v2"),
                       milliseconds(24000), log_offset(1));
  RollOuts.noteOrder(Order);
  upstream_script Slow = events(1, 4);
  Slow.BeforeRead = [&] { Clock.advance(milliseconds(300)); };
  script({Slow});
  run("/stream/x");
  ASSERT_EQ(1U, RollOuts.evidence().size());
  event_intervals Expected = event_intervals().with(milliseconds(300), 1);
  EXPECT_EQ(Expected, RollOuts.evidence()[0].others().eventIntervals());
}

TEST_F(forward_stream_test, slowEvents_withinThePauseLimit_areNotCut) {
  upstream_script Slow;
  Slow.Pieces.clear();
  for (int Number = 1; Number <= 6; ++Number) {
    Slow.Pieces.push_back(event(Number).substr(0, 4));
    Slow.Pieces.push_back(event(Number).substr(4));
  }
  Slow.BeforeRead = [&] { Clock.advance(milliseconds(600)); };
  script({Slow});
  EXPECT_EQ(stream(1, 6), run("/stream/x").Body);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_stream_test, resumedStream_repeatingEvents_isForwardedOnce) {
  script({brokenAfter(1, 3), events(2, 6)});
  EXPECT_EQ(stream(1, 6), run("/stream/x").Body);
}

TEST_F(forward_stream_test, resumedStream_withGap_isNotForwarded) {
  script({brokenAfter(1, 3), events(5, 6), events(4, 6)});
  EXPECT_EQ(stream(1, 6), run("/stream/x").Body);
}

TEST_F(forward_stream_test, nonResumableStream_afterTruncation_isAbandoned) {
  script({brokenAfter(1, 3), events(4, 6)});
  auto Caller = run("/fixed/x");
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_FALSE(Caller.Ended);
  EXPECT_EQ(stream(1, 3), Caller.Body);
  EXPECT_EQ(1U, Upstreams.Attempts.size());
}

TEST_F(forward_stream_test, streamEndingInsideAnEvent_isResumedElsewhere) {
  script({endingInsideEventAfter(1, 3), events(4, 6)});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(1, 6), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(forward_stream_test, nonResumableStreamEndingInsideAnEvent_isAbandoned) {
  script({endingInsideEventAfter(1, 3)});
  auto Caller = run("/fixed/x");
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_FALSE(Caller.Ended);
  EXPECT_EQ(stream(1, 3), Caller.Body);
}

TEST_F(forward_stream_test, connectionClosedBeforeFirstEvent_isRestarted) {
  upstream_script Closed;
  Closed.Pieces = {};
  Closed.DelimitedByClose = true;
  script({Closed, events(1, 2)});
  EXPECT_EQ(stream(1, 2), run("/stream/x").Body);
}

TEST_F(forward_stream_test, streamEndingWithEmptyLines_isForwardedUnchanged) {
  upstream_script Padded = events(1, 2);
  Padded.Pieces.emplace_back("\r\n");
  script({Padded});
  auto Caller = run("/fixed/x");
  EXPECT_EQ(stream(1, 2) + "\r\n", Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(forward_stream_test, streamBrokenBeforeFirstEvent_isRestartedElsewhere) {
  upstream_script Broken;
  Broken.Pieces = {};
  Broken.ReadError = attempt_error::Truncated;
  script({Broken, events(1, 2)});
  EXPECT_EQ(stream(1, 2), run("/stream/x").Body);
}

TEST_F(forward_stream_test, attemptsExhausted_streamIsAbandoned) {
  script({brokenAfter(1, 1), brokenAfter(2, 2), brokenAfter(3, 3)});
  auto Caller = run("/stream/x");
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_EQ(3U, Upstreams.Attempts.size());
}

TEST_F(forward_stream_test, failuresAfterFirstEvents_areNotForwarded) {
  upstream_script Failed;
  Failed.Status = 500;
  Failed.Pieces = {"sorry"};
  script({brokenAfter(1, 2), Failed, Failed});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(1, 2), Caller.Body);
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_FALSE(Caller.Ended);
}

TEST_F(forward_stream_test, errorOfAnyStatusAfterFirstEvents_isNotForwarded) {
  for (int Status : {301, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504}) {
    upstream_script Error;
    Error.Status = Status;
    Error.Pieces = {"HTTP/1.1 503 Busy\r\n\r\n", "sorry\n\n"};
    script({brokenAfter(1, 2), Error, events(3, 4)});
    auto Caller = run("/stream/x");
    EXPECT_EQ(stream(1, 4), Caller.Body) << Status;
    EXPECT_TRUE(Caller.Ended) << Status;
  }
}

TEST_F(forward_stream_test, responseHeadAmongTheEvents_isNotForwarded) {
  upstream_script Garbled = events(1, 2);
  Garbled.Pieces.emplace_back(
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nbusy\n\n");
  Garbled.DelimitedByClose = true;
  script({Garbled, events(3, 4)});
  EXPECT_EQ(stream(1, 4), run("/stream/x").Body);
}

TEST_F(forward_stream_test,
       resumedStreamClosedBeforeItsFirstEvent_isNotTakenForComplete) {
  upstream_script Closed;
  Closed.Pieces = {};
  Closed.DelimitedByClose = true;
  script({brokenAfter(1, 2), Closed, events(3, 4)});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(1, 4), Caller.Body);
  EXPECT_TRUE(Caller.Ended);
}

TEST_F(forward_stream_test, routeNoLongerAStreamAfterFirstEvents_isAbandoned) {
  upstream_script Broken = brokenAfter(1, 2);
  Broken.BeforeRead = [this] {
    configure(9,
              {forward_route(routeOf("/stream/", route_kind::Idempotent, 3))});
  };
  script({Broken});
  auto Caller = run("/stream/x");
  EXPECT_EQ(stream(1, 2), Caller.Body);
  EXPECT_TRUE(Caller.Abandoned);
  EXPECT_FALSE(Caller.Ended);
}

TEST_F(forward_stream_test, resumedStream_staysOnSameVersion) {
  auto Fields = listingOf("new");
  Fields.Version = version_id("v2");
  Registry.insertIfNewer(upstream_listing(Fields));
  Loads.noteFailure(upstream_id("u2"), 50);
  Loads.noteFailure(upstream_id("u3"), 50);
  Loads.noteFailure(upstream_id("new"), 10);
  script({brokenAfter(1, 2), events(3, 4)});
  EXPECT_EQ(stream(1, 4), run("/stream/x").Body);
  ASSERT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_EQ("u1", Upstreams.Attempts[0].upstream().id().text());
  EXPECT_EQ("v1", Upstreams.Attempts[1].upstream().version().text());
}

TEST_F(forward_stream_test, callerLastEvent_isPassedToUpstream) {
  auto Call = callOf("/stream/x");
  Call.LastEvent = 4;
  script({events(5, 6)});
  EXPECT_EQ(stream(5, 6), run(Call).Body);
  EXPECT_EQ(4U, *Upstreams.Attempts[0].lastEvent());
}

TEST_F(forward_stream_test, confidentSmallModel_isKept) {
  script({withConfidence(events(1, 2), 90)});
  EXPECT_EQ(stream(1, 2), run("/sized/x").Body);
  ASSERT_EQ(1U, Upstreams.Attempts.size());
  EXPECT_EQ("small", Upstreams.Attempts[0].model());
}

TEST_F(forward_stream_test,
       smallModelWithLowConfidence_isReplacedByLargeModel) {
  script({withConfidence(events(1, 2), 5), withConfidence(events(1, 9), 5)});
  EXPECT_EQ(stream(1, 9), run("/sized/x").Body);
  ASSERT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_EQ("large", Upstreams.Attempts[1].model());
}

TEST_F(forward_stream_test, afterFirstEvent_modelIsKept) {
  script(
      {withConfidence(brokenAfter(1, 2), 90), withConfidence(events(3, 4), 5)});
  EXPECT_EQ(stream(1, 4), run("/sized/x").Body);
  ASSERT_EQ(2U, Upstreams.Attempts.size());
  EXPECT_EQ("small", Upstreams.Attempts[1].model());
}

TEST_F(forward_stream_test, upstreamLoad_afterRun_isZero) {
  script({brokenAfter(1, 3), events(4, 6)});
  run("/stream/x");
  EXPECT_TRUE(Loads.localLoads().empty());
}

RC_GTEST_FIXTURE_PROP(forward_stream_test,
                      anyBreaks_yieldOrderedPrefixAndNoFalseEnd, ()) {
  constexpr int Length = 8;
  int Next = 1;
  std::vector<upstream_script> Scripts;
  auto Breaks =
      *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 5));
  for (int Break : Breaks) {
    if (Break == 4) {
      upstream_script Failed;
      Failed.Status = 500;
      Scripts.push_back(Failed);
      continue;
    }
    int Last = std::min(Length, Next + Break);
    Scripts.push_back(Last == Length ? events(Next, Last)
                                     : brokenAfter(Next, Last));
    Next = Last + 1;
    if (Last == Length)
      break;
  }
  script(Scripts);
  auto Caller = run("/stream/x");
  // An upstream's error may be forwarded while the caller has received nothing.
  if (Caller.Status == 500)
    return;
  RC_ASSERT(stream(1, Length).rfind(Caller.Body, 0) == 0);
  RC_ASSERT(!Caller.Ended || Caller.Body == stream(1, Length));
}
