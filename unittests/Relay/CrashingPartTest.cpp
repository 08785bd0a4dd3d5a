#include "Support/ForwardFixture.h"

using namespace bluebellkeel;

namespace {

/// Requests whose prompts share parts, at upstreams that crash.
class crashing_part_test : public forward_fixture {
protected:
  crashing_part_test() {
    for (int I = 4; I <= 40; ++I)
      Registry.insertIfNewer(
          upstream_listing(listingOf("u" + std::to_string(I))));
  }

  /// Returns a request with the shared \p Parts and a part and body of its own.
  forward_call::fields callWith(const std::vector<std::string> &Parts,
                                const std::string &Path = "/stream/x") {
    forward_call::fields Call = callOf(Path);
    Call.Body = "body of " + Call.Id.text();
    std::vector<prompt_part> All;
    All.reserve(Parts.size() + 1);
    for (const auto &Part : Parts)
      All.emplace_back(Part, 100);
    All.emplace_back("own of " + Call.Id.text(), 10);
    std::size_t TokensIn = 110 * All.size();
    Call.Prompt = prompt(TokensIn, 20, 0, std::move(All));
    return Call;
  }
  /// An upstream that crashes after \p Events events.
  static upstream_script crashingAfter(int Events) {
    upstream_script Script;
    Script.Pieces.clear();
    for (int I = 1; I <= Events; ++I)
      Script.Pieces.push_back(event(I));
    Script.ReadError = attempt_error::Truncated;
    return Script;
  }
  static upstream_script answering() {
    upstream_script Script;
    Script.Pieces = {event(1), event(2)};
    return Script;
  }
  recording_caller runCrashing(const std::vector<std::string> &Parts) {
    script({crashingAfter(0), crashingAfter(0), crashingAfter(0)});
    return run(callWith(Parts));
  }
  /// Runs one request per second with the part "deadly", which crashes
  /// upstreams as \p Crash says, beside sound ones that share its other parts.
  void runDeadlyBesideSound(const upstream_script &Crash, int Seconds,
                            const std::vector<std::string> &DeadlyParts) {
    for (int Second = 0; Second < Seconds; ++Second) {
      for (int I = 0; I < 4; ++I)
        runSound({"common", "subject " + std::to_string(I)});
      script({Crash, Crash, Crash});
      run(callWith(DeadlyParts));
      Clock.advance(seconds(1));
    }
  }
  /// Returns true if a new request with \p Parts reaches an upstream.
  bool isSent(const std::vector<std::string> &Parts) {
    std::size_t Sent = Upstreams.Attempts.size();
    runSound(Parts);
    return Upstreams.Attempts.size() > Sent;
  }
  recording_caller runSound(const std::vector<std::string> &Parts) {
    script({answering()});
    return run(callWith(Parts));
  }
};

} // namespace

TEST_F(crashing_part_test, partThatCrashesUpstreams_newRequests_areNotSent) {
  for (int Request = 0; Request < 20; ++Request) {
    runSound({"common", "subject"});
    runCrashing({"common", "subject", "deadly"});
  }
  std::size_t Sent = Upstreams.Attempts.size();
  auto Caller = runCrashing({"common", "subject", "deadly"});
  EXPECT_EQ(Sent, Upstreams.Attempts.size());
  EXPECT_EQ(502, Caller.Status);
  EXPECT_EQ(refusal_reason::CrashingRequest, Caller.Reason);
}

TEST_F(crashing_part_test, partThatCrashesUpstreams_crashesAtMostFive) {
  int Crashes = 0;
  for (int Request = 0; Request < 20; ++Request) {
    upstream_script Crashing = crashingAfter(0);
    Crashing.Before = [&Crashes] { ++Crashes; };
    script({Crashing, Crashing, Crashing});
    run(callWith({"common", "deadly"}));
  }
  EXPECT_LE(Crashes, 5);
}

TEST_F(crashing_part_test, upstreamsCrashedAgainAfterTheirRestart_count) {
  for (int I = 1; I <= 40; ++I)
    Crashes.noteCrash(fingerprint("other"),
                      upstream_id("u" + std::to_string(I)),
                      Clock.monotonicNow());
  Clock.advance(crash_tracker::RestartTime - seconds(1));
  for (int Request = 0; Request < 5; ++Request)
    runCrashing({"common", "deadly"});
  std::size_t Sent = Upstreams.Attempts.size();
  runCrashing({"common", "deadly"});
  EXPECT_EQ(Sent, Upstreams.Attempts.size());
}

TEST_F(crashing_part_test, twoUpstreamsThatRestartUnderTheirIds_areSpared) {
  for (int I = 3; I <= 40; ++I)
    Registry.remove(upstream_id("u" + std::to_string(I)));
  int Crashes = 0;
  for (std::uint64_t Request = 0; Request < 20; ++Request) {
    for (const char *Id : {"u1", "u2"}) {
      auto Listing = listingOf(Id);
      Listing.Incarnation = 2 + Request;
      Registry.insertIfNewer(upstream_listing(Listing));
    }
    upstream_script Crashing = crashingAfter(0);
    Crashing.Before = [&Crashes] { ++Crashes; };
    script({Crashing, Crashing, Crashing});
    run(callWith({"common", "deadly"}));
  }
  EXPECT_LE(Crashes, 5);
}

TEST_F(crashing_part_test, suspectedPart_crashesOfSmallModels_areCounted) {
  upstream_script Unsure = crashingAfter(0);
  Unsure.Confidence = 1;
  for (int Request = 0; Request < 4; ++Request) {
    script({Unsure, crashingAfter(0), crashingAfter(0)});
    run(callWith({"common", "deadly"}, "/sized/x"));
  }
  std::size_t Sent = Upstreams.Attempts.size();
  script({Unsure, crashingAfter(0), crashingAfter(0)});
  run(callWith({"common", "deadly"}, "/sized/x"));
  EXPECT_EQ(Sent, Upstreams.Attempts.size());
}

TEST_F(crashing_part_test, soundRequests_withTheOtherParts_areSent) {
  for (int Request = 0; Request < 20; ++Request) {
    EXPECT_EQ(200, runSound({"common", "subject"}).Status);
    runCrashing({"common", "subject", "deadly"});
  }
  EXPECT_EQ(200, runSound({"common", "subject"}).Status);
  EXPECT_EQ(200, runSound({"common", "other"}).Status);
}

TEST_F(crashing_part_test, requestsBrokenAfterTheirFirstEvents_areNotBlamed) {
  for (int Request = 0; Request < 20; ++Request) {
    script({crashingAfter(1), answering()});
    run(callWith({"common", "part " + std::to_string(Request % 2)}));
  }
  std::size_t Sent = Upstreams.Attempts.size();
  runSound({"common", "part 0"});
  runSound({"common", "part 1"});
  EXPECT_EQ(Sent + 2, Upstreams.Attempts.size());
}

TEST_F(crashing_part_test, bodiesBrokenAfterTheirFirstBytes_areNotBlamed) {
  for (int Request = 0; Request < 20; ++Request) {
    script({crashingAfter(1), crashingAfter(1)});
    run(callWith({"common", "part " + std::to_string(Request % 2)},
                 "/again/x"));
  }
  EXPECT_FALSE(PartCrashes.blame()->mentions("common"));
  EXPECT_FALSE(PartCrashes.blame()->mentions("part 0"));
}

TEST_F(crashing_part_test, streamsResumedByTheirCallers_areNotBlamed) {
  for (int Request = 0; Request < 20; ++Request) {
    script({crashingAfter(0), crashingAfter(0), crashingAfter(0)});
    auto Resumed = callWith({"common", "part"});
    Resumed.LastEvent = 1;
    run(Resumed);
  }
  EXPECT_EQ(200, runSound({"common", "part"}).Status);
}

TEST_F(crashing_part_test, responseDroppedForALargerModel_isNoSuccess) {
  upstream_script Unsure = answering();
  Unsure.Confidence = 1;
  auto Repeated = callWith({"common"}, "/sized/x");
  for (int Round = 0; Round < 8; ++Round) {
    script({Unsure, crashingAfter(0), crashingAfter(0)});
    Repeated.Arrived = Clock.monotonicNow();
    run(Repeated);
  }
  std::size_t Sent = Upstreams.Attempts.size();
  script({Unsure, crashingAfter(0), crashingAfter(0)});
  EXPECT_EQ(502, run(Repeated).Status);
  EXPECT_EQ(Sent, Upstreams.Attempts.size());
}

// Guards against parts that are never blocked since their crashes come after
// the first event.
TEST_F(crashing_part_test, partThatCrashesAfterTheFirstEvents_isBlocked) {
  for (int Events : {1, 3, 12}) {
    std::string Deadly = "deadly " + std::to_string(Events);
    runDeadlyBesideSound(crashingAfter(Events), 3, {"common", Deadly});
    EXPECT_FALSE(isSent({"common", Deadly})) << Events;
    for (int I = 0; I < 4; ++I)
      EXPECT_TRUE(isSent({"common", "subject " + std::to_string(I)}));
  }
}

// Guards against parts that are never blocked since their crashes come before
// the first byte.
TEST_F(crashing_part_test, partThatCrashesBeforeTheHead_isBlocked) {
  runDeadlyBesideSound(failing(attempt_error::Truncated), 3,
                       {"common", "deadly"});
  EXPECT_FALSE(isSent({"common", "deadly"}));
  EXPECT_TRUE(isSent({"common", "subject 0"}));
}

TEST_F(crashing_part_test, crashingPartAtTheStartOfThePrompt_isBlocked) {
  runDeadlyBesideSound(crashingAfter(1), 3, {"deadly", "subject 1"});
  EXPECT_FALSE(isSent({"deadly", "subject 2"}));
  EXPECT_TRUE(isSent({"common", "subject 1"}));
}

// Bodies are buffered, so their first bytes do not reach the caller.
TEST_F(crashing_part_test, partThatCrashesInsideABody_isBlocked) {
  for (int Second = 0; Second < 3; ++Second) {
    runSound({"common"});
    script({crashingAfter(1), crashingAfter(1)});
    run(callWith({"common", "deadly"}, "/again/x"));
    Clock.advance(seconds(1));
  }
  EXPECT_FALSE(isSent({"common", "deadly"}));
}

TEST_F(crashing_part_test, soundRequestsBesideACrash_beginAgainElsewhere) {
  runDeadlyBesideSound(crashingAfter(1), 2, {"common", "deadly"});
  for (const char *Part : {"subject 0", "seldom used"}) {
    script({crashingAfter(2), answering()});
    EXPECT_EQ(200, run(callWith({"common", Part})).Status);
  }
}

// Guards against blame of sound parts when upstreams end by themselves.
TEST_F(crashing_part_test, upstreamsThatEndByThemselves_blockNoPart) {
  constexpr int Requests = 600;
  int Refused = 0;
  for (int I = 0; I < Requests; ++I) {
    // Every other part is used by three requests only, some minutes apart.
    std::string Part = I % 2 == 0 ? "subject " + std::to_string(I % 8)
                                  : "seldom " + std::to_string(I % 200);
    if (I % 3 == 0)
      script({crashingAfter(I % 4), answering()});
    else if (I % 3 == 1)
      script({failing(attempt_error::Truncated), answering()});
    else
      script({answering()});
    Refused += run(callWith({"common", Part})).Status == 200 ? 0 : 1;
    Clock.advance(milliseconds(700));
  }
  EXPECT_EQ(0, Refused);
}

TEST_F(crashing_part_test, upstreamsLostAtOnce_blockNoPart) {
  for (int Round = 0; Round < 4; ++Round) {
    runSound({"common"});
    // Two requests with a part that none answered lately, and no retry of
    // theirs succeeds.
    for (int I = 0; I < 2; ++I) {
      script({crashingAfter(1), crashingAfter(1), crashingAfter(1)});
      run(callWith({"common", "seldom " + std::to_string(Round)}));
    }
    Clock.advance(seconds(15));
  }
  for (int Round = 0; Round < 4; ++Round)
    EXPECT_TRUE(isSent({"common", "seldom " + std::to_string(Round)}));
}

// Without any answer, nothing tells a part that crashes upstreams from the
// others.
TEST_F(crashing_part_test, crashesOfAllRequests_blockNoPart) {
  runSound({"common"});
  Clock.advance(seconds(11));
  for (int Second = 0; Second < 20; ++Second) {
    script({crashingAfter(1), crashingAfter(1), crashingAfter(1)});
    run(callWith({"common", "subject"}));
    Clock.advance(seconds(1));
  }
  EXPECT_TRUE(isSent({"common", "subject"}));
}

// Guards against sound requests that are refused until the crashes expire.
TEST_F(crashing_part_test, partBlockedWrongly_isFreeAfterATrial) {
  runDeadlyBesideSound(crashingAfter(1), 3, {"common", "unlucky"});
  ASSERT_FALSE(isSent({"common", "unlucky"}));
  Clock.advance(block_trials::FirstDelay);
  EXPECT_EQ(200, runSound({"common", "unlucky"}).Status);
  EXPECT_EQ(200, runSound({"common", "unlucky"}).Status);
}

TEST_F(crashing_part_test, equalRequestBlockedWrongly_isFreeAfterATrial) {
  auto Repeated = callWith({"common"});
  auto Run = [&] {
    Repeated.Arrived = Clock.monotonicNow();
    return run(Repeated).Status;
  };
  // Three upstreams are lost while the request runs.
  script({crashingAfter(1), crashingAfter(1), crashingAfter(1)});
  Run();
  ASSERT_EQ(502, Run());
  Clock.advance(block_trials::FirstDelay);
  script({answering(), answering()});
  EXPECT_EQ(200, Run());
  EXPECT_EQ(200, Run());
}

TEST_F(crashing_part_test, trialThatCrashesItsUpstream_isNotRepeated) {
  auto Repeated = callWith({"common"});
  for (int Round = 0; Round < 3; ++Round) {
    Repeated.Arrived = Clock.monotonicNow();
    script({crashingAfter(1), crashingAfter(1), crashingAfter(1)});
    run(Repeated);
    Clock.advance(block_trials::FirstDelay);
  }
  EXPECT_EQ(4U, Upstreams.Attempts.size());
}

TEST_F(crashing_part_test, blockedPart_crashesFewUpstreamsInTrials) {
  runDeadlyBesideSound(crashingAfter(1), 3, {"common", "deadly"});
  ASSERT_FALSE(isSent({"common", "deadly"}));
  std::size_t Before = Upstreams.Attempts.size();
  constexpr int Seconds = 60;
  runDeadlyBesideSound(crashingAfter(1), Seconds, {"common", "deadly"});
  std::size_t Sound = 4UL * Seconds;
  EXPECT_LE(Upstreams.Attempts.size() - Before - Sound, 3U);
}
