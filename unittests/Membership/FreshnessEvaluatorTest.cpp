#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Membership.h"
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class freshness_evaluator_test : public testing::Test {
protected:
  static peer_status peer(const char *Id, monotonic_time RequestedAt,
                          std::uint64_t Applied,
                          std::optional<milliseconds> Age) {
    return peer_status(RequestedAt, heartbeat(instance_id(Id), 1, true,
                                              log_offset(Applied), Age));
  }
  settings_position own(std::uint64_t Applied, milliseconds Ago) const {
    return settings_position(log_offset(Applied), Clock.monotonicNow() - Ago);
  }

  manual_clock Clock;
  freshness_evaluator Evaluator{freshness_rules()};
};

/// Three instances and a log whose settings change. Each instance may lose its
/// connection to the log, and the answers of peers may arrive late.
class freshness_cluster {
public:
  static constexpr std::size_t NodeCount = 3;

  explicit freshness_cluster(const manual_clock &Clock) : Clock(Clock) {}

  void change() { ChangedAt[++Head] = Clock.monotonicNow(); }
  void toggleLogConnection(std::size_t Node) {
    LogUnreachable[Node] = !LogUnreachable[Node];
  }

  void readLog(std::size_t Node) {
    if (LogUnreachable[Node])
      return;
    Applied[Node] = Head;
    CaughtUp[Node] = Clock.monotonicNow();
  }

  /// Sends a request from \p From to \p To; deliver() delivers the answer.
  void sendRequest(std::size_t From, std::size_t To) {
    InFlight.push_back({From, To, Clock.monotonicNow(), heartbeatOf(To)});
  }

  void deliver(std::size_t Index) {
    if (InFlight.empty())
      return;
    auto Found =
        InFlight.begin() + static_cast<std::ptrdiff_t>(Index % InFlight.size());
    // Counting from the arrival makes a late answer look recent.
    monotonic_time AsOf =
        CountFromArrival ? Clock.monotonicNow() : Found->RequestedAt;
    LastStatuses[Found->From][Found->To] = peer_status(AsOf, Found->Answer);
    InFlight.erase(Found);
  }

  settings_position positionOf(std::size_t Node) const {
    return settings_position(log_offset(Applied[Node]), CaughtUp[Node]);
  }
  std::vector<peer_status> peersOf(std::size_t Node) const {
    std::vector<peer_status> Result;
    for (const auto &[Id, Status] : LastStatuses[Node])
      Result.push_back(Status);
    return Result;
  }

  /// True if a change at least \p Age old is not in force at \p Node.
  bool missesChange(std::size_t Node, milliseconds Age) const {
    auto Next = ChangedAt.find(Applied[Node] + 1);
    return Next != ChangedAt.end() &&
           Clock.monotonicNow() - Next->second >= Age;
  }

  bool CountFromArrival = false;

private:
  struct answer {
    std::size_t From;
    std::size_t To;
    monotonic_time RequestedAt;
    heartbeat Answer;
  };

  heartbeat heartbeatOf(std::size_t Node) const {
    auto Age =
        Evaluator.logAge(Clock.monotonicNow(), positionOf(Node), peersOf(Node));
    return heartbeat(instance_id(std::to_string(Node)), 1, true,
                     log_offset(Applied[Node]), Age);
  }

  const manual_clock &Clock;
  freshness_evaluator Evaluator{freshness_rules()};
  std::uint64_t Head = 0;
  std::map<std::uint64_t, monotonic_time> ChangedAt;
  std::array<bool, NodeCount> LogUnreachable = {};
  std::array<std::uint64_t, NodeCount> Applied = {};
  std::array<std::optional<monotonic_time>, NodeCount> CaughtUp = {};
  std::array<std::map<std::size_t, peer_status>, NodeCount> LastStatuses;
  std::deque<answer> InFlight;
};

/// Runs a random schedule. Returns false when a node evaluates its settings as
/// fresh but misses a change made 10 s ago.
bool freshNodesHaveAllChanges(std::uint64_t Seed, bool CountFromArrival) {
  manual_clock Clock;
  freshness_cluster Cluster(Clock);
  Cluster.CountFromArrival = CountFromArrival;
  freshness_evaluator Evaluator{freshness_rules()};
  seeded_random Random(Seed);
  Cluster.change();
  for (int Step = 0; Step < 300; ++Step) {
    std::size_t Node = Random.uniformBelow(freshness_cluster::NodeCount);
    std::size_t Other = Random.uniformBelow(freshness_cluster::NodeCount);
    switch (Random.uniformBelow(8)) {
    case 0:
      Cluster.change();
      break;
    case 1:
      Cluster.toggleLogConnection(Node);
      break;
    case 2:
    case 3:
      Cluster.readLog(Node);
      break;
    case 4:
    case 5:
      if (Node != Other)
        Cluster.sendRequest(Node, Other);
      break;
    default:
      Cluster.deliver(Random.uniformBelow(100));
    }
    Clock.advance(milliseconds(Random.uniformBelow(1500)));
    auto Verdict =
        Evaluator.evaluate(Clock.monotonicNow(), Cluster.positionOf(Node),
                           Cluster.peersOf(Node), 2);
    if (Verdict == serving_verdict::Fresh &&
        Cluster.missesChange(Node, seconds(10)))
      return false;
  }
  return true;
}

} // namespace

RC_GTEST_FIXTURE_PROP(
    freshness_evaluator_test,
    freshNode_underRandomPartitions_hasEachChangeOlderThanTenSeconds,
    (std::uint64_t Seed)) {
  RC_ASSERT(freshNodesHaveAllChanges(Seed, /*CountFromArrival=*/false));
}

TEST_F(freshness_evaluator_test,
       baseline_countingFromArrival_missesChangesOnLateAnswers) {
  bool Consistent = true;
  for (std::uint64_t Seed = 0; Seed < 200 && Consistent; ++Seed)
    Consistent = freshNodesHaveAllChanges(Seed, /*CountFromArrival=*/true);
  EXPECT_FALSE(Consistent);
}

TEST_F(freshness_evaluator_test, evaluate_recentRead_isFresh) {
  EXPECT_EQ(
      serving_verdict::Fresh,
      Evaluator.evaluate(Clock.monotonicNow(), own(3, seconds(1)), {}, 8));
}

TEST_F(freshness_evaluator_test, evaluate_logUnreachable_isFreshThroughPeer) {
  auto Peer = peer("p", Clock.monotonicNow() - seconds(1), 3, seconds(2));
  EXPECT_EQ(
      serving_verdict::Fresh,
      Evaluator.evaluate(Clock.monotonicNow(), own(3, seconds(60)), {Peer}, 8));
}

TEST_F(freshness_evaluator_test, evaluate_peerWithNewerSettings_isCutOff) {
  auto Peer = peer("p", Clock.monotonicNow(), 4, milliseconds(0));
  EXPECT_EQ(
      serving_verdict::CutOff,
      Evaluator.evaluate(Clock.monotonicNow(), own(3, seconds(60)), {Peer}, 1));
}

TEST_F(freshness_evaluator_test, evaluate_noPeerAnswers_isCutOff) {
  EXPECT_EQ(
      serving_verdict::CutOff,
      Evaluator.evaluate(Clock.monotonicNow(), own(3, seconds(60)), {}, 2));
}

TEST_F(freshness_evaluator_test, evaluate_logDownForAllInstances_isLogOutage) {
  auto Now = Clock.monotonicNow();
  std::vector<peer_status> Peers = {peer("p", Now, 3, seconds(60)),
                                    peer("q", Now, 3, seconds(60))};
  EXPECT_EQ(serving_verdict::LogOutage,
            Evaluator.evaluate(Now, own(3, seconds(60)), Peers, 2));
}

TEST_F(freshness_evaluator_test,
       evaluate_cutOffWithContinueWhenCutOff_isLogOutage) {
  freshness_evaluator Lenient(
      freshness_rules(freshness_rules::DefaultMaxLogAge,
                      freshness_rules::DefaultMaxPeerAge, true));
  EXPECT_EQ(serving_verdict::LogOutage,
            Lenient.evaluate(Clock.monotonicNow(), own(3, seconds(60)), {}, 2));
}

TEST_F(freshness_evaluator_test, evaluate_nothingReadYet_isNoSettings) {
  EXPECT_EQ(
      serving_verdict::NoSettings,
      Evaluator.evaluate(Clock.monotonicNow(), settings_position(), {}, 2));
}
