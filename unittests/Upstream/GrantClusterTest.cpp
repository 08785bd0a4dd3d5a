#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Upstream.h"
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

constexpr std::uint32_t ColdRequests = 2;
constexpr std::uint32_t WarmRequests = 8;
constexpr std::uint64_t TokenBound = 8000;

class null_listener final : public capacity_listener {
public:
  void onCapacityChanged() override {}
};

/// Holders that request grants for one upstream from its current owner. Replies
/// may be delayed; owners are paused and replaced.
class grant_cluster {
public:
  static constexpr std::size_t HolderCount = 4;

  grant_cluster() {
    for (std::size_t Index = 0; Index < HolderCount; ++Index)
      Holders.push_back(std::make_unique<grant_holder>(
          instance_id("h" + std::to_string(Index)), Clock, Listener));
    replaceOwner();
  }

  static upstream_record record() {
    return upstream_record(upstream_id("u"), data_centre_id("c"),
                           network_address(), upstream_kind::Engine,
                           pool_id("p"), false,
                           load_amount(WarmRequests, TokenBound),
                           load_amount(ColdRequests, TokenBound));
  }

  /// Installs a new owner; the previous one may still reply to old requests.
  void replaceOwner() {
    if (Owner)
      PreviousOwner = std::move(Owner);
    Owner = std::make_unique<grant_issuer>(grant_rules());
    confirm();
  }

  void confirm() {
    if (!Paused)
      Owner->setOwned({record()}, Clock.monotonicNow());
  }
  void togglePause() { Paused = !Paused; }

  void report() {
    if (!Paused)
      Owner->noteReport(upstream_id("u"), load_report(Warm, inFlight()),
                        Clock.monotonicNow());
  }

  void requestGrant(std::size_t Holder) {
    Holders[Holder]->tryAcquire(upstream_id("u"), load_amount(100, TokenBound));
    for (const auto &Request : Holders[Holder]->requests())
      PendingRequests.push_back({Holder, Request, Clock.monotonicNow(), false});
  }

  /// Delivers a pending request to the current owner or, as after a pause, to
  /// the previous one, and its reply to the holder.
  void finishRequest(std::size_t Index, bool ByPreviousOwner) {
    if (PendingRequests.empty())
      return;
    auto Found = PendingRequests.begin() +
                 static_cast<std::ptrdiff_t>(Index % PendingRequests.size());
    grant_issuer *Issuer = ByPreviousOwner ? PreviousOwner.get() : Owner.get();
    bool CanReply = Issuer && (ByPreviousOwner || !Paused);
    if (!CanReply)
      return;
    auto Grant = Issuer->issue(Found->Request, Clock.monotonicNow());
    if (Grant)
      Holders[Found->Holder]->noteGrant(*Grant, Found->SentAt);
    PendingRequests.erase(Found);
  }

  void start(std::size_t Holder, std::uint64_t Tokens) {
    auto Slot =
        Holders[Holder]->tryAcquire(upstream_id("u"), load_amount(1, Tokens));
    if (Slot)
      Running.push_back(std::move(*Slot));
  }

  void end() {
    if (!Running.empty())
      Running.pop_front();
  }

  load_amount inFlight() {
    load_amount Sum;
    for (auto &Holder : Holders)
      Sum = Sum.plus(Holder->inFlight(upstream_id("u")));
    return Sum;
  }

  void dropPendingRequests() { PendingRequests.clear(); }

  manual_clock Clock;
  bool Warm = false;

private:
  struct pending_request {
    std::size_t Holder;
    grant_request Request;
    monotonic_time SentAt;
    bool Lost;
  };

  null_listener Listener;
  std::vector<std::unique_ptr<grant_holder>> Holders;
  std::deque<pending_request> PendingRequests;
  std::deque<upstream_slot> Running;
  std::unique_ptr<grant_issuer> Owner;
  std::unique_ptr<grant_issuer> PreviousOwner;
  bool Paused = false;
};

class grant_cluster_test : public testing::Test {
protected:
  /// Runs owner, holders and upstream without faults for \p Time.
  void runWithoutFaults(milliseconds Time) {
    constexpr milliseconds Round{100};
    for (auto Elapsed = milliseconds(0); Elapsed < Time; Elapsed += Round) {
      Cluster.confirm();
      Cluster.report();
      for (std::size_t H = 0; H < grant_cluster::HolderCount; ++H) {
        Cluster.requestGrant(H);
        Cluster.finishRequest(0, false);
        Cluster.start(H, 10);
        Cluster.start(H, 10);
      }
      Peak = std::max(Peak, Cluster.inFlight().requests());
      Cluster.end();
      Cluster.Clock.advance(Round);
    }
  }

  grant_cluster Cluster;
  std::uint32_t Peak = 0;
};

} // namespace

RC_GTEST_FIXTURE_PROP(grant_cluster_test,
                      coldUpstream_underAnySchedule_neverExceedsItsCapacity,
                      (std::uint64_t Seed)) {
  seeded_random Random(Seed);
  grant_cluster Subject;
  for (int Step = 0; Step < 300; ++Step) {
    std::size_t Holder = Random.uniformBelow(grant_cluster::HolderCount);
    switch (Random.uniformBelow(14)) {
    case 0:
      Subject.replaceOwner();
      break;
    case 1:
      Subject.togglePause();
      break;
    case 2:
    case 3:
      Subject.report();
      break;
    case 4:
    case 5:
    case 6:
      Subject.requestGrant(Holder);
      break;
    case 7:
    case 8:
      Subject.finishRequest(Random.uniformBelow(50), false);
      break;
    case 9:
      Subject.finishRequest(Random.uniformBelow(50), true);
      break;
    case 10:
      Subject.end();
      break;
    default:
      Subject.start(Holder, 1 + Random.uniformBelow(TokenBound));
    }
    Subject.confirm();
    Subject.Clock.advance(milliseconds(Random.uniformBelow(400)));
    RC_ASSERT(Subject.inFlight().requests() <= ColdRequests);
    RC_ASSERT(Subject.inFlight().tokens() <= TokenBound);
  }
}

TEST_F(grant_cluster_test, baseline_withoutGrants_exceedsTheColdCapacity) {
  // Without grants, each of the four instances sends at least one request.
  EXPECT_GT(grant_cluster::HolderCount, ColdRequests);
}

TEST_F(grant_cluster_test, coldUpstream_withDemand_isUsedToItsCapacity) {
  runWithoutFaults(seconds(10));
  EXPECT_EQ(ColdRequests, Peak);
}

TEST_F(grant_cluster_test, warmUpstream_withDemand_reachesFullLoad) {
  Cluster.Warm = true;
  runWithoutFaults(seconds(10));
  EXPECT_EQ(WarmRequests, Peak);
}

TEST_F(grant_cluster_test, newOwner_withinOneTerm_issuesNothing) {
  grant_issuer Issuer{grant_rules()};
  auto Now = Cluster.Clock.monotonicNow();
  Issuer.setOwned({grant_cluster::record()}, Now);
  Issuer.noteReport(upstream_id("u"), load_report(true, {}), Now);
  grant_request Request(instance_id("h"), upstream_id("u"), {},
                        load_amount(1, 1));
  EXPECT_FALSE(Issuer.issue(Request, Now + milliseconds(1400)));
}

TEST_F(grant_cluster_test, owner_afterAPause_waitsAWholeTermAgain) {
  grant_issuer Issuer{grant_rules()};
  auto Now = Cluster.Clock.monotonicNow();
  auto Confirm = [&] { Issuer.setOwned({grant_cluster::record()}, Now); };
  grant_request Request(instance_id("h"), upstream_id("u"), {},
                        load_amount(1, 1));
  for (int Round = 0; Round < 5; ++Round) {
    Confirm();
    Issuer.noteReport(upstream_id("u"), load_report(true, {}), Now);
    Now += milliseconds(500);
  }
  EXPECT_TRUE(Issuer.issue(Request, Now));
  Now += seconds(30);
  EXPECT_FALSE(Issuer.issue(Request, Now));
  Confirm();
  EXPECT_FALSE(Issuer.issue(Request, Now));
}

TEST_F(grant_cluster_test, runningWork_aboveASmallerGrant_isStillCounted) {
  upstream_record Record(upstream_id("u"), data_centre_id("c"),
                         network_address(), upstream_kind::Engine, pool_id("p"),
                         false, load_amount(8, TokenBound),
                         load_amount(3, TokenBound));
  grant_issuer Issuer{grant_rules()};
  auto Now = Cluster.Clock.monotonicNow();
  for (int Round = 0; Round < 5; ++Round) {
    Issuer.setOwned({Record}, Now);
    Issuer.noteReport(upstream_id("u"), load_report(false, {}), Now);
    Now += milliseconds(500);
  }
  auto RequestShare = [&](const char *Holder, std::uint32_t InFlight,
                          std::uint32_t Wanted) {
    grant_request Request(instance_id(Holder), upstream_id("u"),
                          load_amount(InFlight, 0), load_amount(Wanted, 1));
    return Issuer.issue(Request, Now)->share().requests();
  };
  EXPECT_EQ(2U, RequestShare("a", 0, 2));
  EXPECT_EQ(1U, RequestShare("b", 0, 1));
  // With two holders, the first one gets a smaller share, but its two requests
  // still run.
  EXPECT_EQ(1U, RequestShare("a", 2, 2));
  EXPECT_EQ(0U, RequestShare("c", 0, 1));
}

TEST_F(grant_cluster_test, loadWithoutAGrant_inTheReport_isSubtractedFirst) {
  grant_issuer Issuer{grant_rules()};
  auto Now = Cluster.Clock.monotonicNow();
  grant_request Request(instance_id("h"), upstream_id("u"), {},
                        load_amount(8, 100));
  for (int Round = 0; Round < 10; ++Round) {
    Issuer.setOwned({grant_cluster::record()}, Now);
    // Another owner, after a network partition, granted six requests there.
    Issuer.noteReport(upstream_id("u"), load_report(true, load_amount(6, 600)),
                      Now);
    Now += milliseconds(1000);
  }
  auto Grant = Issuer.issue(Request, Now);
  ASSERT_TRUE(Grant);
  EXPECT_EQ(2U, Grant->share().requests());
}
