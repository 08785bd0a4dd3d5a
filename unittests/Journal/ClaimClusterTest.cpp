#include "Support/FakeLog.h"
#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

using verdict = claim_verdict::kind;

namespace {

constexpr milliseconds ClaimTimeout{2000};
constexpr milliseconds NoWait{0};

/// One attempt at a ticket, as seen by the instance that makes it.
struct attempt {
  std::string Ticket;
  std::string Id;
  std::size_t Node = 0;
  std::optional<claim_verdict> Verdict;
  bool Dispatched = false;
  bool Released = false;
  bool Done = false;
};

/// Several instances that claim tickets from one log. A granted attempt is
/// dispatched later, as after a pause, or never, as after a kill.
class claim_cluster_test : public testing::Test {
protected:
  static constexpr std::size_t NodeCount = 3;

  void SetUp() override {
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      Nodes.push_back(makeNode());
  }

  std::unique_ptr<claim_coordinator> makeNode() {
    return std::make_unique<claim_coordinator>(Log, Clock, ClaimTimeout,
                                               milliseconds(1));
  }

  ticket makeTicket(const std::string &Id) const {
    return ticket(Id, account_id("a"), Clock.wallNow(), log_offset());
  }

  std::size_t claim(const std::string &Ticket, std::size_t Node) {
    std::size_t Index = Attempts.size();
    Attempts.push_back(std::make_shared<attempt>());
    auto Attempt = Attempts.back();
    Attempt->Ticket = Ticket;
    Attempt->Id = "attempt-" + std::to_string(Index);
    Attempt->Node = Node;
    Nodes[Node]->claim(makeTicket(Ticket), Attempt->Id,
                       [Attempt](const claim_verdict &NewVerdict) {
                         Attempt->Verdict = NewVerdict;
                       });
    return Index;
  }

  /// Runs a granted attempt once, as its instance does.
  void dispatch(attempt &Attempt) {
    bool Granted =
        Attempt.Verdict && Attempt.Verdict->result() == verdict::Granted;
    if (!Granted || Attempt.Dispatched || Attempt.Released)
      return;
    Attempt.Dispatched = true;
    ++Runs[Attempt.Ticket];
  }

  void finish(attempt &Attempt) {
    if (!Attempt.Dispatched || Attempt.Done)
      return;
    Attempt.Done = true;
    Nodes[Attempt.Node]->finish(Attempt.Ticket, Attempt.Id,
                                recorded_outcome(200, Attempt.Id));
  }

  void releaseUndispatched(attempt &Attempt) {
    bool Granted =
        Attempt.Verdict && Attempt.Verdict->result() == verdict::Granted;
    if (!Granted || Attempt.Dispatched || Attempt.Released)
      return;
    Attempt.Released = true;
    Nodes[Attempt.Node]->release(Attempt.Ticket, Attempt.Id);
  }

  void step(random_source &Random) {
    std::size_t Node = Random.uniformBelow(NodeCount);
    attempt *Attempt =
        Attempts.empty() ? nullptr
                         : Attempts[Random.uniformBelow(Attempts.size())].get();
    switch (Random.uniformBelow(12)) {
    case 0:
    case 1:
      claim("ticket-" + std::to_string(Random.uniformBelow(4)), Node);
      break;
    case 2:
      Log.Down = !Log.Down;
      break;
    case 3:
      Log.LoseAnswers = !Log.LoseAnswers;
      break;
    case 4:
      Log.ReadsFail = !Log.ReadsFail;
      break;
    case 5:
      // Kills the instance: its queue is lost, and its granted attempts never
      // run.
      Nodes[Node] = makeNode();
      for (auto &Each : Attempts) {
        if (Each->Node == Node && !Each->Dispatched)
          Each->Released = true;
      }
      break;
    case 6:
    case 7:
      if (Attempt)
        dispatch(*Attempt);
      break;
    case 8:
      if (Attempt)
        finish(*Attempt);
      break;
    case 9:
      if (Attempt)
        releaseUndispatched(*Attempt);
      break;
    default:
      Nodes[Node]->commitOnce(NoWait);
    }
    Clock.advance(milliseconds(Random.uniformBelow(700)));
  }

  void checkRuns() const {
    for (const auto &[Ticket, Count] : Runs)
      RC_ASSERT(Count <= 1);
  }

  void checkVerdicts() const {
    for (const auto &Attempt : Attempts) {
      if (!Attempt->Verdict)
        continue;
      if (Attempt->Verdict->result() == verdict::Finished)
        RC_ASSERT(Runs.at(Attempt->Ticket) == 1);
      if (Attempt->Verdict->result() == verdict::LogUnavailable)
        RC_ASSERT(!Attempt->Dispatched);
    }
  }

  manual_clock Clock;
  fake_log<claim_entry> Log;
  std::vector<std::unique_ptr<claim_coordinator>> Nodes;
  std::vector<std::shared_ptr<attempt>> Attempts;
  std::map<std::string, int> Runs;
};

} // namespace

RC_GTEST_FIXTURE_PROP(claim_cluster_test,
                      anySchedule_ofKillsPausesAndOutages_runsTicketsAtMostOnce,
                      (std::uint64_t Seed)) {
  seeded_random Random(Seed);
  for (int Step = 0; Step < 200; ++Step) {
    step(Random);
    checkRuns();
  }
  checkVerdicts();
}

TEST_F(claim_cluster_test, baseline_grantingOnAppendAlone_runsTwice) {
  // Without reading back, each instance whose append succeeded would run.
  int WouldRun = 0;
  for (const char *Attempt : {"x", "y"}) {
    if (Log.append({claim_entry(claim_entry::kind::Claim, "t", Attempt)}))
      ++WouldRun;
  }
  EXPECT_EQ(2, WouldRun);
}

TEST_F(claim_cluster_test, sameTicket_atTwoInstances_isGrantedToOne) {
  auto First = claim("t", 0);
  auto Second = claim("t", 1);
  Nodes[1]->commitOnce(NoWait);
  Nodes[0]->commitOnce(NoWait);
  EXPECT_EQ(verdict::Granted, Attempts[Second]->Verdict->result());
  EXPECT_EQ(verdict::HeldElsewhere, Attempts[First]->Verdict->result());
}

TEST_F(claim_cluster_test, claim_withLostAppendAnswer_isStillGranted) {
  auto Index = claim("t", 0);
  Log.LoseAnswers = true;
  Nodes[0]->commitOnce(NoWait);
  EXPECT_FALSE(Attempts[Index]->Verdict);
  Log.LoseAnswers = false;
  Nodes[0]->commitOnce(NoWait);
  EXPECT_EQ(verdict::Granted, Attempts[Index]->Verdict->result());
}

TEST_F(claim_cluster_test, outage_longerThanClaimTimeout_releasesTicket) {
  auto First = claim("t", 0);
  Log.LoseAnswers = true;
  Nodes[0]->commitOnce(NoWait);
  Clock.advance(ClaimTimeout);
  Log.Down = true;
  Nodes[0]->commitOnce(NoWait);
  EXPECT_EQ(verdict::LogUnavailable, Attempts[First]->Verdict->result());
  Log.Down = false;
  Log.LoseAnswers = false;
  Nodes[0]->commitOnce(NoWait);
  // The log contains the claim and its release, so a resend may run.
  auto Second = claim("t", 1);
  Nodes[1]->commitOnce(NoWait);
  EXPECT_EQ(verdict::Granted, Attempts[Second]->Verdict->result());
}

TEST_F(claim_cluster_test, lateDuplicate_ofReleasedClaim_doesNotHoldTicket) {
  claim_table Claims;
  claim_entry Claim(claim_entry::kind::Claim, "t", "x");
  Claims.apply(Claim);
  Claims.apply(claim_entry(claim_entry::kind::Release, "t", "x"));
  Claims.apply(Claim);
  Claims.apply(claim_entry(claim_entry::kind::Claim, "t", "y"));
  EXPECT_EQ(verdict::Granted, Claims.verdictFor("t", "y").result());
  EXPECT_EQ(verdict::HeldElsewhere, Claims.verdictFor("t", "x").result());
}

TEST_F(claim_cluster_test, resend_afterRun_getsRecordedAnswer) {
  auto First = claim("t", 0);
  Nodes[0]->commitOnce(NoWait);
  dispatch(*Attempts[First]);
  finish(*Attempts[First]);
  Nodes[0]->commitOnce(NoWait);
  auto Second = claim("t", 2);
  Nodes[2]->commitOnce(NoWait);
  EXPECT_EQ(verdict::Finished, Attempts[Second]->Verdict->result());
  EXPECT_EQ("attempt-0", Attempts[Second]->Verdict->outcome().body());
}

TEST_F(claim_cluster_test, claim_withRecordsDroppedSinceIssue_isTrimmed) {
  claim("other", 0);
  Nodes[0]->commitOnce(NoWait);
  claim("other2", 0);
  Nodes[0]->commitOnce(NoWait);
  Log.trim(log_offset(2));
  auto Index = claim("t", 1);
  Nodes[1]->commitOnce(NoWait);
  EXPECT_EQ(verdict::Trimmed, Attempts[Index]->Verdict->result());
}

TEST_F(claim_cluster_test, manyClaims_inOneBatch_takeOneAppend) {
  for (int Index = 0; Index < 100; ++Index)
    claim("t" + std::to_string(Index), 0);
  Nodes[0]->commitOnce(NoWait);
  EXPECT_EQ(1U, Log.Appends);
  for (const auto &Attempt : Attempts)
    EXPECT_EQ(verdict::Granted, Attempt->Verdict->result());
}

TEST_F(claim_cluster_test, claim_withFullQueue_isRefused) {
  for (std::size_t Index = 0; Index < claim_coordinator::MaxWaiting; ++Index)
    claim("t" + std::to_string(Index), 0);
  auto Last = claim("one-more", 0);
  EXPECT_EQ(verdict::QueueFull, Attempts[Last]->Verdict->result());
}
