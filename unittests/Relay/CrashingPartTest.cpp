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
