#include "Support/FakeLog.h"
#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

/// One instance that follows the settings stream.
class follower_node {
public:
  follower_node(settings_log &Log, const time_source &Clock)
      : Follower(Log, Store, Clock) {}

  settings_store Store;
  settings_follower Follower;
};

/// Several instances, two teams of operators and one log.
class settings_cluster_test : public testing::Test {
protected:
  void SetUp() override {
    for (int Index = 0; Index < 3; ++Index)
      Nodes.push_back(std::make_unique<follower_node>(Log, Clock));
  }

  settings_change makeChange(std::uint64_t Number, const settings_state &Seen) {
    const char *Team = Number % 2 == 0 ? "one" : "two";
    auto Path = *settings_path::parse(std::string("/") + Team + "/versions/" +
                                      Team + "@1/cost");
    return settings_change(
        "change-" + std::to_string(Number), team_id(Team),
        Seen.revisionOf(team_id(Team)).offset(),
        {setting_edit(Path, setting_value(static_cast<double>(Number)))});
  }

  void pollAll() {
    for (auto &Node : Nodes)
      Node->Follower.pollOnce();
  }

  /// One event of a random schedule.
  void step(random_source &Random) {
    auto &Node = *Nodes[Random.uniformBelow(Nodes.size())];
    log_offset Before = Node.Store.state()->applied();
    switch (Random.uniformBelow(9)) {
    case 0:
    case 1:
    case 2:
      Log.append({makeChange(++LastChange, *Node.Store.state())});
      break;
    case 3:
      Log.Down = !Log.Down;
      break;
    case 4:
      Log.LoseAnswers = !Log.LoseAnswers;
      break;
    case 5:
      replaceNode(Random);
      return;
    case 6:
      trimCoveredRecords(Random);
      break;
    default:
      Node.Follower.pollOnce();
      Node.Follower.snapshotIfDue(seconds(20));
    }
    Clock.advance(milliseconds(Random.uniformBelow(2000)));
    RC_ASSERT(Node.Store.state()->applied() >= Before);
  }

  /// Replaces an instance. The new instance starts from the log, or from the
  /// state of a peer when the log fails.
  void replaceNode(random_source &Random) {
    auto &Node = Nodes[Random.uniformBelow(Nodes.size())];
    auto &Peer = *Nodes[Random.uniformBelow(Nodes.size())];
    auto State = Peer.Store.state();
    auto NewNode = std::make_unique<follower_node>(Log, Clock);
    if (!NewNode->Follower.pollOnce())
      NewNode->Store.replaceIfNewer(*State);
    Node = std::move(NewNode);
  }

  /// Drops records as retention does, but keeps the records within the
  /// retention time: here, all records after the state of the newest snapshot.
  void trimCoveredRecords(random_source &Random) {
    log_offset Newest;
    for (log_offset O =
             log_offset(Log.head().value() + 1 - Log.retained().size());
         O <= Log.head(); O = O.next()) {
      if (const auto *Snapshot = std::get_if<settings_snapshot>(&Log.at(O)))
        Newest = std::max(Newest, Snapshot->state().applied());
    }
    if (Newest > log_offset())
      Log.trim(log_offset(Random.uniformBelow(Newest.value()) + 1).next());
  }

  /// Ends all failures and lets 10 s pass, in which every instance reaches the
  /// newest settings.
  void recover() {
    Log.Down = false;
    Log.LoseAnswers = false;
    for (int Round = 0; Round < 20; ++Round) {
      pollAll();
      Clock.advance(milliseconds(500));
    }
  }

  manual_clock Clock;
  fake_log<settings_record> Log;
  std::vector<std::unique_ptr<follower_node>> Nodes;
  std::uint64_t LastChange = 0;
};

/// The baseline: applies the changes without base revisions, so the last writer
/// wins.
settings_state lastWriterWins(const fake_log<settings_record> &Log) {
  settings_state::value_map Values;
  for (const auto &Record : Log.retained()) {
    const auto *Change = std::get_if<settings_change>(&Record);
    if (!Change)
      continue;
    for (const auto &Edit : Change->edits())
      Values[Edit.path()] = *Edit.value();
  }
  return settings_state(Log.head(), Values, {});
}

} // namespace

RC_GTEST_FIXTURE_PROP(settings_cluster_test,
                      anySchedule_afterRecovery_allAgreeAndNoneReverted,
                      (std::uint64_t Seed)) {
  seeded_random Random(Seed);
  for (int Step = 0; Step < 120; ++Step)
    step(Random);
  recover();
  // A node that lost its connection while retention dropped records needs a new
  // snapshot.
  for (auto &Node : Nodes)
    Node->Follower.snapshotIfDue(seconds(0));
  recover();
  auto Expected = Nodes[0]->Store.state();
  for (auto &Node : Nodes)
    RC_ASSERT(*Node->Store.state() == *Expected);
  RC_ASSERT(Expected->applied() == Log.head());
}

TEST_F(settings_cluster_test,
       concurrentChanges_onOneRevision_secondIsNotInForce) {
  settings_state Seen;
  Log.append({makeChange(2, Seen)});
  Log.append({makeChange(4, Seen)});
  pollAll();
  auto Path = *settings_path::parse("/one/versions/one@1/cost");
  for (auto &Node : Nodes) {
    EXPECT_EQ(2.0, *Node->Store.state()->find(Path)->asNumber());
    EXPECT_EQ(change_outcome::verdict::Conflict,
              Node->Store.outcomeOf("change-4")->result());
  }
  // The baseline reports both changes as done and silently loses the first.
  EXPECT_EQ(4.0, *lastWriterWins(Log).find(Path)->asNumber());
}

TEST_F(settings_cluster_test, resend_afterLostAnswer_isAppliedOnce) {
  auto Change = makeChange(2, settings_state());
  Log.LoseAnswers = true;
  EXPECT_FALSE(Log.append({Change}));
  Log.LoseAnswers = false;
  EXPECT_TRUE(Log.append({Change}));
  pollAll();
  EXPECT_TRUE(Nodes[0]->Store.outcomeOf("change-2")->accepted());
  EXPECT_EQ(log_offset(1),
            Nodes[0]->Store.state()->revisionOf(team_id("one")).offset());
}

TEST_F(settings_cluster_test, retention_withoutNewChanges_losesNoSettings) {
  Log.append({makeChange(2, settings_state())});
  pollAll();
  auto Before = Nodes[0]->Store.state()->values();
  for (int Round = 0; Round < 5; ++Round) {
    Clock.advance(seconds(601));
    pollAll();
    EXPECT_TRUE(Nodes[0]->Follower.snapshotIfDue(seconds(600)));
    pollAll();
    EXPECT_FALSE(Nodes[1]->Follower.snapshotIfDue(seconds(600)));
    Log.trim(Log.head());
  }
  follower_node NewNode(Log, Clock);
  EXPECT_TRUE(NewNode.Follower.pollOnce());
  EXPECT_EQ(Before, NewNode.Store.state()->values());
}

TEST_F(settings_cluster_test, newNode_whenLogStartIsTrimmed_waitsForSnapshot) {
  Log.append({makeChange(2, settings_state())});
  Log.append({makeChange(3, settings_state())});
  pollAll();
  Log.trim(log_offset(2));
  follower_node NewNode(Log, Clock);
  EXPECT_FALSE(NewNode.Follower.pollOnce());
  EXPECT_TRUE(NewNode.Store.state()->values().empty());
  pollAll();
  EXPECT_TRUE(Nodes[0]->Follower.snapshotIfDue(seconds(600)));
  EXPECT_TRUE(NewNode.Follower.pollOnce());
  EXPECT_EQ(Nodes[0]->Store.state()->values(), NewNode.Store.state()->values());
}

TEST_F(settings_cluster_test, snapshot_endingBeforeRetainedRecords_isNotUsed) {
  Log.append({makeChange(2, settings_state())});
  Nodes[0]->Follower.pollOnce();
  auto Old = *Nodes[0]->Store.state();
  Log.append({makeChange(3, settings_state())});
  // A slow instance writes an old snapshot, and retention drops the change
  // after it.
  Log.append({settings_snapshot(Old)});
  Log.trim(log_offset(3));
  follower_node NewNode(Log, Clock);
  EXPECT_FALSE(NewNode.Follower.pollOnce());
  EXPECT_TRUE(NewNode.Store.state()->values().empty());
}
