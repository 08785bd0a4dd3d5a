#include "Support/ListingOf.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class placement_test : public testing::Test {
protected:
  static placement_candidate candidate(const std::string &Id,
                                       upstream_load Load,
                                       std::uint64_t Cached = 0,
                                       bool Cold = false) {
    placement_candidate::fields Fields;
    Fields.Listing = upstream_listing(listingOf(Id));
    Fields.Load = Load;
    Fields.CachedTokens = Cached;
    Fields.Cold = Cold;
    return placement_candidate(std::move(Fields));
  }
  /// Returns \p Candidates with the partition that all instances compute.
  static std::vector<placement_candidate>
  partitioned(const std::vector<placement_candidate> &Candidates,
              const prompt &Prompt) {
    std::vector<upstream_id> Ids;
    Ids.reserve(Candidates.size());
    for (const auto &Candidate : Candidates)
      Ids.push_back(Candidate.listing().id());
    upstream_partition Partition(Ids, Prompt);
    std::vector<placement_candidate> Partitioned;
    Partitioned.reserve(Candidates.size());
    for (const auto &Candidate : Candidates) {
      placement_candidate::fields Fields;
      Fields.Listing = Candidate.listing();
      Fields.Load = Candidate.load();
      Fields.CachedTokens = Candidate.cachedTokens();
      Fields.Cold = Candidate.cold();
      Fields.ReservedForSmallModels =
          Partition.reservedForSmallModels(Candidate.listing().id());
      Fields.Home = Partition.home(Candidate.listing().id());
      Partitioned.emplace_back(std::move(Fields));
    }
    return Partitioned;
  }
  std::string best(const std::vector<placement_candidate> &Candidates,
                   double RelativeTokenTime = 1) const {
    return Policy
        .order(partitioned(Candidates, Prompt), Prompt, RelativeTokenTime)
        .front()
        .listing()
        .id()
        .text();
  }

  cheapest_placement Policy;
  prompt Prompt{6000, 400, 300, {{"shared", 5000}, {"own", 1000}}};
};

} // namespace

TEST_F(placement_test, upstreamWithCachedPart_atEqualLoad_isPreferred) {
  EXPECT_EQ("b", best({candidate("a", {}), candidate("b", {}, 5000),
                       candidate("c", {})}));
}

TEST_F(placement_test, cachedPart_atABusyUpstream_isReadAgainElsewhere) {
  EXPECT_EQ("a", best({candidate("a", {}, 100),
                       candidate("b", {4, 20000, 0, 0}, 5000)}));
}

TEST_F(placement_test, uncachedPart_onEveryInstance_goesToTheSameUpstream) {
  auto First = best({candidate("a", {}), candidate("b", {}), candidate("c", {}),
                     candidate("d", {})});
  auto Second = best({candidate("d", {}), candidate("c", {}),
                      candidate("b", {}), candidate("a", {})});
  EXPECT_EQ(First, Second);
}

TEST_F(placement_test, failingUpstream_isNotChosen) {
  EXPECT_EQ("a", best({candidate("a", {2, 0, 0, 0}, 100),
                       candidate("b", {0, 0, 0, 3}, 100)}));
}

TEST_F(placement_test, fullUpstream_isNotChosen) {
  EXPECT_EQ("b", best({candidate("a", {8, 0, 3, 0}, 100),
                       candidate("b", {5, 0, 0, 0}, 100)}));
}

TEST_F(placement_test, coldUpstream_besideALoadedWarmOne_isNotChosen) {
  EXPECT_EQ("b", best({candidate("a", {}, 100, /*Cold=*/true),
                       candidate("b", {5, 0, 0, 0}, 100)}));
}

TEST_F(placement_test, leastLoadedPlacement_prefersFewestRunningRequests) {
  least_loaded_placement Baseline;
  auto Ordered = Baseline.order(
      {candidate("a", {3, 0, 0, 0}), candidate("b", {1, 0, 0, 0})}, Prompt, 1);
  EXPECT_EQ("b", Ordered.front().listing().id().text());
}

TEST_F(placement_test, prefixTracker_countsOnlyAnUnbrokenPrefix) {
  manual_clock Clock;
  prefix_tracker Tracker(Clock);
  upstream_id U("u");
  Tracker.notePromptRead("m", prompt(0, 0, 0, {{"x", 10}, {"y", 20}}), U);
  EXPECT_EQ(30U, Tracker.cachedTokens(
                     "m", prompt(0, 0, 0, {{"x", 10}, {"y", 20}}), U));
  EXPECT_EQ(
      0U, Tracker.cachedTokens("m", prompt(0, 0, 0, {{"z", 5}, {"y", 20}}), U));
  EXPECT_EQ(0U, Tracker.cachedTokens("n", prompt(0, 0, 0, {{"x", 10}}), U));
  Clock.advance(prefix_tracker::PartLifetime + milliseconds(1));
  EXPECT_EQ(0U, Tracker.cachedTokens("m", prompt(0, 0, 0, {{"x", 10}}), U));
}

TEST_F(placement_test, largeModel_avoidsUpstreamsReservedForSmallModels) {
  std::vector<placement_candidate> Candidates;
  std::vector<upstream_id> Ids;
  constexpr int Upstreams = 8;
  Candidates.reserve(Upstreams);
  Ids.reserve(Upstreams);
  for (int I = 0; I < Upstreams; ++I) {
    std::string Id = "u" + std::to_string(I);
    Ids.emplace_back(Id);
    Candidates.push_back(candidate(Id, {1, 10000, 0, 0}));
  }
  upstream_partition Partition(Ids, Prompt);
  EXPECT_FALSE(
      Partition.reservedForSmallModels(upstream_id(best(Candidates, 15))));
  EXPECT_TRUE(
      Partition.reservedForSmallModels(upstream_id(best(Candidates, 1))));
}
