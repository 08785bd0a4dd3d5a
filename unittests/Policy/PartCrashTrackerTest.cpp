#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// Several instances that see crashes and exchange reports.
class part_crash_tracker_test : public testing::Test {
protected:
  static prompt promptWith(const std::vector<std::string> &Shared) {
    std::vector<prompt_part> Parts;
    Parts.reserve(Shared.size() + 1);
    for (const auto &Part : Shared)
      Parts.emplace_back(Part, 100);
    Parts.emplace_back("own", 10);
    return prompt(100, 10, 0, std::move(Parts));
  }
  /// Run number \p Number of the upstream \p Id.
  static upstream_incarnation run(const std::string &Id,
                                  std::uint64_t Number = 1) {
    return upstream_incarnation(upstream_id(Id), Number);
  }
  part_crash_tracker &instance(std::size_t Index) {
    while (Instances.size() <= Index)
      Instances.emplace_back(Clock);
    return Instances[Index];
  }
  /// A new request with \p Shared crashes a new upstream, seen by \p Index.
  void crash(std::size_t Index, const std::vector<std::string> &Shared) {
    ++Crashes;
    instance(Index).noteCrash(fingerprint("r" + std::to_string(Crashes)),
                              run("u" + std::to_string(Crashes)),
                              promptWith(Shared));
  }
  /// The crash of a new upstream interrupts a new request with \p Shared, seen
  /// by \p Index.
  void interrupt(std::size_t Index, const std::vector<std::string> &Shared) {
    ++Crashes;
    interruptAt(Index, Shared, run("u" + std::to_string(Crashes)));
  }
  void interruptAt(std::size_t Index, const std::vector<std::string> &Shared,
                   const upstream_incarnation &Upstream) {
    ++Interrupted;
    instance(Index).noteInterruption(
        fingerprint("i" + std::to_string(Interrupted)), Upstream,
        promptWith(Shared));
  }
  bool blocks(std::size_t Index, const std::vector<std::string> &Shared) {
    return instance(Index).blame()->blockedPart(promptWith(Shared)).has_value();
  }
  /// Each instance sends its report to the next \p Peers instances.
  void exchangeReports(std::size_t Peers) {
    for (std::size_t From = 0; From < Instances.size(); ++From) {
      auto Report = instance(From).report();
      for (std::size_t Step = 1; Step <= Peers; ++Step)
        instance((From + Step * Step) % Instances.size()).merge(Report);
    }
  }

  manual_clock Clock;
  std::deque<part_crash_tracker> Instances;
  int Crashes = 0;
  int Interrupted = 0;
};

} // namespace

TEST_F(part_crash_tracker_test, part_afterCrashesOfThreeRequests_isBlocked) {
  crash(0, {"a", "d"});
  EXPECT_TRUE(instance(0).blame()->suspects(promptWith({"d"})));
  EXPECT_FALSE(instance(0).blame()->blocksRepeat(promptWith({"d"})));
  crash(0, {"b", "d"});
  EXPECT_TRUE(instance(0).blame()->blocksRepeat(promptWith({"d"})));
  EXPECT_FALSE(blocks(0, {"d"}));
  crash(0, {"c", "d"});
  EXPECT_TRUE(blocks(0, {"z", "d"}));
  for (const char *Other : {"a", "b", "c"})
    EXPECT_FALSE(blocks(0, {Other}));
}

TEST_F(part_crash_tracker_test, lastPart_isNeverBlamed) {
  for (int I = 0; I < 9; ++I)
    crash(0, {});
  EXPECT_FALSE(instance(0).blame()->mentions("own"));
}

TEST_F(part_crash_tracker_test, upstreamThatRestartsUnderItsId_countsAgain) {
  for (std::uint64_t Start = 1; Start <= 3; ++Start) {
    EXPECT_FALSE(blocks(0, {"d"}));
    instance(0).noteCrash(fingerprint("r" + std::to_string(Start)),
                          run("u", Start), promptWith({"d"}));
  }
  EXPECT_TRUE(blocks(0, {"d"}));
}

TEST_F(part_crash_tracker_test, requestsOfOneCrash_blockNothing) {
  for (int I = 0; I < 9; ++I)
    instance(0).noteCrash(fingerprint("r" + std::to_string(I)), run("u"),
                          promptWith({"d"}));
  EXPECT_FALSE(blocks(0, {"d"}));
}

TEST_F(part_crash_tracker_test, oneRequest_afterTwoUpstreams_isBlocked) {
  fingerprint Request("r");
  instance(0).noteCrash(Request, run("u1"), promptWith({"d"}));
  EXPECT_FALSE(instance(0).blame()->blocksRequest(Request));
  instance(0).noteCrash(Request, run("u2"), promptWith({"d"}));
  EXPECT_TRUE(instance(0).blame()->blocksRequest(Request));
  EXPECT_FALSE(blocks(0, {"d"}));
}

TEST_F(part_crash_tracker_test, partOfEqualEvidence_laterPartIsBlocked) {
  for (int I = 0; I < 3; ++I)
    crash(0, {"a", "d"});
  EXPECT_TRUE(blocks(0, {"d"}));
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, deadlyPartBeforeOthers_isBlockedInItsTurn) {
  for (int I = 0; I < 3; ++I)
    crash(0, {"d", "a"});
  for (const char *Other : {"b", "c", "e"})
    crash(0, {"d", Other});
  EXPECT_TRUE(blocks(0, {"d", "f"}));
  EXPECT_FALSE(blocks(0, {"b"}));
}

TEST_F(part_crash_tracker_test, partWithASuccessBefore_isNotBlocked) {
  instance(0).noteSuccess(promptWith({"a"}));
  for (int I = 0; I < 9; ++I)
    crash(0, {"a"});
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, blockedPart_thatSucceedsAfterAll_isUnblocked) {
  for (int I = 0; I < 3; ++I)
    crash(0, {"a"});
  ASSERT_TRUE(blocks(0, {"a"}));
  instance(0).noteSuccess(promptWith({"a"}));
  EXPECT_FALSE(blocks(0, {"a"}));
  Clock.advance(2 * part_crash_tracker::SuccessLifetime);
  instance(0).noteSuccess(promptWith({"z"}));
  crash(0, {"z"});
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, partThatOnceSucceeded_butNoLonger_isBlocked) {
  instance(0).noteSuccess(promptWith({"a"}));
  Clock.advance(2 * part_crash_tracker::SuccessLifetime);
  for (int I = 0; I < 3; ++I)
    crash(0, {"a"});
  EXPECT_TRUE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, partThatTurnsDeadly_isBlockedWithin15Seconds) {
  instance(0).noteSuccess(promptWith({"a"}));
  for (int Second = 1; Second <= 15; ++Second) {
    Clock.advance(seconds(1));
    crash(0, {"a"});
  }
  EXPECT_TRUE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, block_afterTheLifetimeOfCrashes_isLifted) {
  for (int I = 0; I < 3; ++I)
    crash(0, {"a"});
  Clock.advance(part_crash_tracker::CrashLifetime + seconds(1));
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, instancesThatSawOneCrashEach_allBlockThePart) {
  for (std::size_t I = 0; I < 100; ++I)
    instance(I);
  for (std::size_t I = 0; I < 5; ++I)
    crash(20 * I, {"a" + std::to_string(I), "d"});
  // Rounds of digests among many instances within the shortest contact time.
  for (int Round = 0; Round < 4; ++Round) {
    exchangeReports(8);
    Clock.advance(milliseconds(700));
  }
  for (std::size_t I = 0; I < 100; ++I)
    EXPECT_TRUE(blocks(I, {"x", "d"})) << I;
}

TEST_F(part_crash_tracker_test, successAtOneInstance_clearsThePartAtAll) {
  for (std::size_t I = 0; I < 9; ++I)
    instance(I);
  instance(4).noteSuccess(promptWith({"a"}));
  for (std::size_t I = 0; I < 3; ++I)
    crash(I, {"a", "d"});
  for (int Round = 0; Round < 2; ++Round)
    exchangeReports(8);
  for (std::size_t I = 0; I < 9; ++I) {
    EXPECT_FALSE(blocks(I, {"a"})) << I;
    EXPECT_TRUE(blocks(I, {"a", "d"})) << I;
  }
}

TEST_F(part_crash_tracker_test, partSoundWhereTheCrashWasSeen_isSoundAtPeers) {
  instance(0).noteSuccess(promptWith({"a"}));
  for (int I = 0; I < 3; ++I)
    crash(0, {"d", "a"});
  instance(1).merge(instance(0).report());
  Clock.advance(seconds(120));
  instance(2).merge(instance(0).report());
  for (std::size_t I : {1, 2}) {
    EXPECT_TRUE(blocks(I, {"d"})) << I;
    EXPECT_FALSE(blocks(I, {"a"})) << I;
  }
}

TEST_F(part_crash_tracker_test, instanceStartedLater_learnsTheBlock) {
  for (int I = 0; I < 3; ++I)
    crash(0, {"d"});
  Clock.advance(seconds(120));
  instance(1).merge(instance(0).report());
  EXPECT_TRUE(blocks(1, {"d"}));
}

TEST_F(part_crash_tracker_test, crashesKnownToPeers_areNotKeptAliveByThem) {
  for (int I = 0; I < 3; ++I)
    crash(0, {"d"});
  for (int Minute = 0; Minute < 11; ++Minute) {
    Clock.advance(seconds(60));
    instance(1).merge(instance(0).report());
    instance(0).merge(instance(1).report());
  }
  EXPECT_FALSE(blocks(0, {"d"}));
  EXPECT_FALSE(blocks(1, {"d"}));
}

TEST_F(part_crash_tracker_test, report_afterManyCrashes_isBounded) {
  for (int I = 0; I < 1000; ++I)
    crash(0, {"a" + std::to_string(I), "d"});
  for (int I = 0; I < 1000; ++I)
    instance(0).noteSuccess(promptWith({"a" + std::to_string(I)}));
  EXPECT_LE(instance(0).report().crashes().size(),
            part_crash_tracker::MaxReported);
  EXPECT_LE(instance(0).report().successes().size(),
            part_crash_tracker::MaxReported);
  EXPECT_TRUE(blocks(0, {"d"}));
}

TEST_F(part_crash_tracker_test,
       notesOfOtherThreadsDuringReport_haveNoNegativeAge) {
  crash(0, {"a"});
  instance(0).noteSuccess(promptWith({"a"}));
  crash(0, {"b"});
  // The time of the report is taken before the other threads note theirs.
  Clock.advance(milliseconds(-5));
  auto Report = instance(0).report();
  ASSERT_FALSE(Report.crashes().empty());
  ASSERT_FALSE(Report.successes().empty());
  for (const auto &Crash : Report.crashes())
    EXPECT_GE(Crash.age(), milliseconds(0));
  for (const auto &Success : Report.successes())
    EXPECT_GE(Success.age(), milliseconds(0));
}

TEST_F(part_crash_tracker_test,
       interruptionsByThreeCrashesInTurn_blockTheCommonPart) {
  for (const char *Other : {"a", "b", "c"}) {
    EXPECT_FALSE(blocks(0, {"d"}));
    instance(0).noteSuccess(promptWith({"z"}));
    interrupt(0, {Other, "d"});
    Clock.advance(seconds(1));
  }
  EXPECT_TRUE(blocks(0, {"d"}));
  for (const char *Other : {"a", "b", "c"})
    EXPECT_FALSE(blocks(0, {Other}));
}

TEST_F(part_crash_tracker_test, interruptionsByCrashesAtOnce_blockNothing) {
  instance(0).noteSuccess(promptWith({"z"}));
  for (int I = 0; I < 9; ++I)
    interrupt(0, {"a"});
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, interruptionsOfOneRequest_blockNothing) {
  for (int I = 0; I < 9; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    instance(0).noteInterruption(fingerprint("r"), run("u" + std::to_string(I)),
                                 promptWith({"a"}));
    Clock.advance(seconds(1));
  }
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test, partInterruptedBesideTheCause_isNotBlocked) {
  for (int I = 0; I < 5; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    upstream_incarnation Upstream = run("u" + std::to_string(I));
    interruptAt(0, {"d"}, Upstream);
    // The seldom used part is interrupted by all but one of the crashes.
    if (I > 0)
      interruptAt(0, {"seldom"}, Upstream);
    Clock.advance(seconds(1));
  }
  EXPECT_TRUE(blocks(0, {"d"}));
  EXPECT_FALSE(blocks(0, {"seldom"}));
}

TEST_F(part_crash_tracker_test, partInterruptedBesideABegunRequest_isNoCause) {
  for (int I = 0; I < 5; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    crash(0, {"d"});
    interruptAt(0, {"seldom"}, run("u" + std::to_string(Crashes)));
    Clock.advance(seconds(1));
  }
  EXPECT_TRUE(blocks(0, {"d"}));
  EXPECT_FALSE(blocks(0, {"seldom"}));
}

TEST_F(part_crash_tracker_test, interruptedPart_thatIsAnswered_startsAnew) {
  for (int I = 0; I < 9; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    interrupt(0, {"a"});
    Clock.advance(seconds(1));
    if (I % 2 == 1)
      instance(0).noteSuccess(promptWith({"a"}));
    Clock.advance(2 * part_crash_tracker::SuccessLifetime);
  }
  EXPECT_FALSE(blocks(0, {"a"}));
}

TEST_F(part_crash_tracker_test,
       instancesThatSawOneInterruptionEach_allBlockThePart) {
  for (std::size_t I = 0; I < 100; ++I)
    instance(I).noteSuccess(promptWith({"z"}));
  // Each crash interrupts requests at many instances.
  for (std::size_t I = 0; I < 5; ++I) {
    interrupt(20 * I, {"z", "d"});
    upstream_incarnation Upstream = run("u" + std::to_string(Crashes));
    for (std::size_t Other = 0; Other < 30; ++Other)
      interruptAt(3 * Other,
                  {"z", "subject " + std::to_string(100 * I + Other)},
                  Upstream);
    exchangeReports(8);
    Clock.advance(milliseconds(700));
  }
  for (int Round = 0; Round < 3; ++Round) {
    exchangeReports(8);
    Clock.advance(milliseconds(700));
  }
  for (std::size_t I = 0; I < 100; ++I)
    EXPECT_TRUE(blocks(I, {"x", "d"})) << I;
}

TEST_F(part_crash_tracker_test, partInterruptedHere_answeredAtAPeer_isCleared) {
  instance(1).noteSuccess(promptWith({"a"}));
  for (int I = 0; I < 3; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    interrupt(0, {"a"});
    Clock.advance(seconds(1));
    for (int Round = 0; Round < 2; ++Round)
      exchangeReports(1);
  }
  EXPECT_FALSE(blocks(0, {"a"}));
  EXPECT_FALSE(blocks(1, {"a"}));
}

TEST_F(part_crash_tracker_test, instanceStartedLater_learnsTheInterruptions) {
  for (int I = 0; I < 12; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    interrupt(0, {"d"});
    Clock.advance(milliseconds(300));
  }
  Clock.advance(seconds(120));
  instance(1).merge(instance(0).report());
  EXPECT_TRUE(blocks(1, {"d"}));
}

TEST_F(part_crash_tracker_test, reportOfManyInterruptions_isBounded) {
  for (int I = 0; I < 1000; ++I) {
    instance(0).noteSuccess(promptWith({"z"}));
    interrupt(0, {"a" + std::to_string(I), "d"});
    Clock.advance(milliseconds(10));
  }
  EXPECT_LE(instance(0).report().interruptions().size(),
            part_crash_tracker::MaxReported);
  EXPECT_TRUE(blocks(0, {"d"}));
}

RC_GTEST_FIXTURE_PROP(part_crash_tracker_test,
                      anyMixOfCrashes_onlyThePartWithoutSuccess_isBlocked, ()) {
  auto Order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
  std::deque<part_crash_tracker> Trackers;
  for (int I = 0; I < 5; ++I)
    Trackers.emplace_back(Clock);
  int Deadly = 0;
  int Number = 0;
  for (int Draw : Order) {
    ++Number;
    auto &Tracker = Trackers[static_cast<std::size_t>(Draw % 5)];
    std::vector<std::string> Shared{"common", "s" + std::to_string(Draw % 3)};
    // An upstream that crashes for reasons of its own interrupts one request,
    // which succeeds elsewhere.
    bool IsDeadly = Draw < 30;
    if (IsDeadly) {
      Shared.emplace_back("d");
      ++Deadly;
    }
    Tracker.noteCrash(fingerprint("r" + std::to_string(Number)),
                      run("u" + std::to_string(Number)), promptWith(Shared));
    if (!IsDeadly)
      Tracker.noteSuccess(promptWith(Shared));
    Tracker.noteSuccess(promptWith({"common", "s" + std::to_string(Draw % 3)}));
    Clock.advance(milliseconds(100));
    for (auto &From : Trackers) {
      for (auto &To : Trackers)
        To.merge(From.report());
    }
  }
  for (auto &Tracker : Trackers) {
    auto Blame = Tracker.blame();
    RC_ASSERT(Blame->blockedPart(promptWith({"d"})).has_value() ==
              (Deadly >= 3));
    for (const char *Sound : {"common", "s0", "s1", "s2"})
      RC_ASSERT(!Blame->blockedPart(promptWith({Sound})));
  }
}

// Guards against blocks of parts that instances keep alive at each other.
RC_GTEST_FIXTURE_PROP(part_crash_tracker_test,
                      reportsInAnyOrder_blockEndsWithItsLifetime, ()) {
  constexpr std::size_t Count = 3;
  constexpr int MaxDelayMs = 10000;
  /// A report reaches the last of three instances by way of another one.
  constexpr milliseconds MaxLateness(2 * MaxDelayMs);
  for (std::size_t I = 0; I < part_blame::BlockingRequests; ++I)
    crash(0, {"d"});
  RC_ASSERT(blocks(0, {"d"}));
  milliseconds Elapsed(0);
  constexpr milliseconds Lifetime = part_crash_tracker::CrashLifetime;
  while (Elapsed < 2 * Lifetime) {
    auto From = *rc::gen::inRange<std::size_t>(0, Count);
    auto To = *rc::gen::inRange<std::size_t>(0, Count);
    milliseconds Delay(*rc::gen::inRange(0, MaxDelayMs));
    auto Report = instance(From).report();
    Clock.advance(Delay);
    instance(To).merge(Report);
    Clock.advance(milliseconds(700));
    Elapsed += Delay + milliseconds(700);
    if (Elapsed <= Lifetime + MaxLateness)
      continue;
    for (std::size_t Index = 0; Index < Count; ++Index)
      RC_ASSERT(!blocks(Index, {"d"}));
  }
}
