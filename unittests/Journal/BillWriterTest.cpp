#include "Support/FakeLog.h"
#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

using namespace bluebellkeel;

namespace {

constexpr milliseconds NoWait{0};

/// Replicates to the next node of the cluster, if that node is reachable.
class fake_replicator final : public bill_replicator {
public:
  std::function<bool(const std::vector<bill> &)> Target;

  void replicate(const std::vector<bill> &Bills,
                 std::function<void(bool)> Done) override {
    Done(Target && Target(Bills));
  }
};

/// The bill writer of one instance and its replicator.
struct writer_node {
  writer_node(record_log<bill> &Log, const time_source &Clock)
      : Writer(Log, Replicator, Clock, milliseconds(1)) {}

  fake_replicator Replicator;
  bill_writer Writer;
};

/// Instances that append bills to one log and replicate to each other.
class bill_writer_test : public testing::Test {
protected:
  static constexpr std::size_t NodeCount = 3;

  void SetUp() override {
    Nodes.resize(NodeCount);
    for (std::size_t Index = 0; Index < NodeCount; ++Index)
      start(Index);
  }

  void start(std::size_t Index) {
    Nodes[Index] = std::make_unique<writer_node>(Log, Clock);
    Nodes[Index]->Replicator.Target = [this, Index](const auto &Bills) {
      auto &Next = Nodes[(Index + 1) % NodeCount];
      return !PeersUnreachable && Next->Writer.enqueueReplicated(Bills);
    };
  }

  static bill makeBill(const std::string &Request) {
    return bill(account_id("a"), request_id(Request), "m@1", 10, 5);
  }

  void submit(const std::string &Request, std::size_t Node) {
    Nodes[Node]->Writer.submit(
        makeBill(Request),
        [this, Request](tl::expected<void, journal_error> Result) {
          if (Result)
            Released.insert(Request);
          else
            Withheld.insert(Request);
        });
  }

  /// Returns how often a reader of the bills stream charges each request.
  std::map<std::string, int> countBills() const {
    std::map<std::string, int> Billed;
    std::set<bill> Seen;
    for (const auto &Bill : Log.retained()) {
      if (Seen.insert(Bill).second)
        ++Billed[Bill.request().text()];
    }
    return Billed;
  }

  void drain() {
    Log.Down = false;
    Log.LoseAnswers = false;
    for (int Round = 0; Round < 5; ++Round) {
      Clock.advance(seconds(1));
      for (auto &Node : Nodes)
        Node->Writer.commitOnce(NoWait);
    }
  }

  manual_clock Clock;
  fake_log<bill> Log;
  std::vector<std::unique_ptr<writer_node>> Nodes;
  std::set<std::string> Released;
  std::set<std::string> Withheld;
  bool PeersUnreachable = false;
};

} // namespace

RC_GTEST_FIXTURE_PROP(
    bill_writer_test,
    anySchedule_withOneKillPerOutage_billsReleasedRequestsOnce,
    (std::uint64_t Seed)) {
  seeded_random Random(Seed);
  int Number = 0;
  // Replication protects against the loss of one instance while the log is
  // down; a second loss before the log recovers may take the copy too.
  bool KilledWhileDown = false;
  for (int Step = 0; Step < 150; ++Step) {
    std::size_t Node = Random.uniformBelow(NodeCount);
    switch (Random.uniformBelow(8)) {
    case 0:
    case 1:
      submit("r" + std::to_string(++Number), Node);
      break;
    case 2:
      Log.Down = !Log.Down;
      break;
    case 3:
      Log.LoseAnswers = !Log.LoseAnswers;
      break;
    case 4:
      PeersUnreachable = !PeersUnreachable;
      break;
    case 5:
      if (!KilledWhileDown)
        start(Node);
      KilledWhileDown = true;
      break;
    default:
      Clock.advance(milliseconds(Random.uniformBelow(400)));
      Nodes[Node]->Writer.commitOnce(NoWait);
    }
    if (!Log.Down && !Log.LoseAnswers && Random.uniformBelow(4) == 0) {
      drain();
      KilledWhileDown = false;
    }
  }
  drain();
  auto Billed = countBills();
  for (const auto &Request : Released)
    RC_ASSERT(Billed[Request] == 1);
}

TEST_F(bill_writer_test, baseline_billingAfterRelease_losesBillOnKill) {
  // The response is released before the append, so a kill in between loses the
  // bill.
  Released.insert("r1");
  EXPECT_EQ(0, countBills()["r1"]);
}

TEST_F(bill_writer_test, bill_whileLogIsUp_isReleasedAfterAppend) {
  submit("r1", 0);
  EXPECT_TRUE(Released.empty());
  Nodes[0]->Writer.commitOnce(NoWait);
  EXPECT_EQ(1U, Released.count("r1"));
  EXPECT_EQ(1, countBills()["r1"]);
}

TEST_F(bill_writer_test, bill_whileLogIsDown_isReleasedAfterReplication) {
  Log.Down = true;
  submit("r1", 0);
  Nodes[0]->Writer.commitOnce(NoWait);
  EXPECT_EQ(1U, Released.count("r1"));
  start(0);
  drain();
  EXPECT_EQ(1, countBills()["r1"]);
}

TEST_F(bill_writer_test, bill_withNeitherLogNorPeer_isWithheld) {
  Log.Down = true;
  PeersUnreachable = true;
  submit("r1", 0);
  Nodes[0]->Writer.commitOnce(NoWait);
  EXPECT_EQ(1U, Withheld.count("r1"));
}

TEST_F(bill_writer_test, heldBills_atLimit_leaveNoCapacity) {
  Log.Down = true;
  for (std::size_t Index = 0; Index < bill_writer::MaxHeld; ++Index)
    submit("r" + std::to_string(Index), 0);
  EXPECT_FALSE(Nodes[0]->Writer.hasCapacity());
  submit("one-more", 0);
  EXPECT_EQ(1U, Withheld.count("one-more"));
}

TEST_F(bill_writer_test, manyBills_inOneBatch_takeOneAppend) {
  for (int Index = 0; Index < 100; ++Index)
    submit("r" + std::to_string(Index), 0);
  Nodes[0]->Writer.commitOnce(NoWait);
  EXPECT_EQ(1U, Log.Appends);
}
