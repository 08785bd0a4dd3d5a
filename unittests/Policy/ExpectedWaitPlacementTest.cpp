#include "Support/ListingOf.h"
#include "Support/ManualClock.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Policy.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <map>

using namespace bluebellkeel;

namespace {

class expected_wait_placement_test : public testing::Test {
protected:
  static placement_candidate candidate(const std::string &Id,
                                       const upstream_load &Load,
                                       bool ForLight = false) {
    placement_candidate::fields Fields;
    Fields.Listing = upstream_listing(listingOf(Id));
    Fields.Load = Load;
    Fields.ReservedForSmallModels = ForLight;
    return placement_candidate(std::move(Fields));
  }
  static prompt promptOf(std::uint64_t Tokens) {
    return {Tokens, 100, 100, {{"own", Tokens}}};
  }
  static std::string best(const placement_policy &Policy,
                          std::vector<placement_candidate> Candidates,
                          const prompt &Prompt, double RelativeTokenTime = 1) {
    return Policy.order(std::move(Candidates), Prompt, RelativeTokenTime)
        .front()
        .listing()
        .id()
        .text();
  }
  /// Returns the most requests on one upstream after \p Deciders have decided
  /// on the same reports, which differ by some engine steps.
  static int busiest(const placement_policy &Policy, int Deciders,
                     int Upstreams) {
    std::map<std::string, int> Chosen;
    for (int D = 0; D < Deciders; ++D) {
      std::vector<std::pair<std::uint64_t, int>> Shuffled;
      Shuffled.reserve(Upstreams);
      for (int U = 0; U < Upstreams; ++U)
        Shuffled.emplace_back(
            rendezvousWeight(std::to_string(D), std::to_string(U)), U);
      std::sort(Shuffled.begin(), Shuffled.end());
      std::vector<placement_candidate> Candidates;
      Candidates.reserve(Upstreams);
      for (const auto &[Weight, U] : Shuffled)
        Candidates.push_back(candidate("u" + std::to_string(U),
                                       {double(U % 5), 100.0 * U, 0, 0, 1.0}));
      ++Chosen[best(Policy, std::move(Candidates), promptOf(500))];
    }
    int Most = 0;
    for (const auto &[Id, Count] : Chosen)
      Most = std::max(Most, Count);
    return Most;
  }

  reading_speed_tracker Speeds;
  queued_work_estimator Estimator{Speeds};
  cheapest_placement Baseline;
  expected_wait_placement Policy{Estimator, Baseline};
};

} // namespace

TEST_F(expected_wait_placement_test, unreportedSpeeds_keepTheBaselinesOrder) {
  std::vector<placement_candidate> Candidates = {
      candidate("a", {3, 900, 0, 0}), candidate("b", {2, 800, 0, 0}),
      candidate("c", {1, 5000, 0, 0}, /*ForLight=*/true)};
  EXPECT_EQ(Baseline.order(Candidates, promptOf(500), 1),
            Policy.order(Candidates, promptOf(500), 1));
}

TEST_F(expected_wait_placement_test, slowUpstream_withLessWork_isNotChosen) {
  EXPECT_EQ("b", best(Policy,
                      {candidate("a", {0, 20000, 0, 0, 2.5}),
                       candidate("b", {0, 30000, 0, 0, 1.0})},
                      promptOf(20000)));
}

TEST_F(expected_wait_placement_test, longRead_besideManyStreams_isNotChosen) {
  EXPECT_EQ("b", best(Policy,
                      {candidate("a", {40, 0, 0, 0, 1.0}),
                       candidate("b", {2, 20000, 0, 0, 1.0})},
                      promptOf(12000), 10));
}

TEST_F(expected_wait_placement_test, lightAndHeavyReads_goToTheirParts) {
  std::vector<placement_candidate> Both = {
      candidate("heavy", {1, 0, 0, 0, 1.0}),
      candidate("light", {1, 0, 0, 0, 1.0}, /*ForLight=*/true)};
  EXPECT_EQ("light", best(Policy, Both, promptOf(500)));
  EXPECT_EQ("heavy", best(Policy, Both, promptOf(12000), 10));
}

TEST_F(expected_wait_placement_test, fullPart_yieldsToTheOtherOne) {
  EXPECT_EQ("heavy", best(Policy,
                          {candidate("heavy", {1, 0, 0, 0, 1.0}),
                           candidate("light", {1, 20000, 0, 0, 1.0}, true)},
                          promptOf(500)));
  EXPECT_EQ("light", best(Policy,
                          {candidate("heavy", {1, 500000, 0, 0, 1.0}),
                           candidate("light", {1, 0, 0, 0, 1.0}, true)},
                          promptOf(12000), 10));
}

TEST_F(expected_wait_placement_test, sameOldReports_at300Deciders_doNotHerd) {
  constexpr int Deciders = 300;
  constexpr int Upstreams = 20;
  EXPECT_LE(busiest(Policy, Deciders, Upstreams), 2 * Deciders / Upstreams);
  EXPECT_EQ(Deciders, busiest(Baseline, Deciders, Upstreams));
}

TEST_F(expected_wait_placement_test, readingSpeed_isLearntFromFirstTokens) {
  service_id Service("engines");
  auto Candidate = candidate("a", {0, 0, 0, 0, 1.0});
  for (int I = 0; I < 300; ++I)
    Speeds.noteFirstToken(Service,
                          Estimator.estimate(Candidate, promptOf(20000), 1),
                          milliseconds(200));
  EXPECT_NEAR(200, Estimator.estimate(Candidate, promptOf(20000), 1).total(),
              10);
  EXPECT_EQ(reading_speed_tracker::StartSpeed,
            Speeds.speedOf(service_id("other")));
}

TEST_F(expected_wait_placement_test, workMix_movesTheShareWithinItsLimits) {
  manual_clock Clock;
  work_mix_tracker Mix(Clock);
  service_id Service("engines");
  EXPECT_EQ(work_mix_tracker::StartLightShare, Mix.lightShare(Service));
  for (int I = 0; I < 2000; ++I)
    Mix.noteRead(Service, work_mix_tracker::MinHeavyTokens - 1);
  EXPECT_NEAR(1 - work_mix_tracker::MinShare, Mix.lightShare(Service),
              work_mix_tracker::Hysteresis);
  Clock.advance(10 * work_mix_tracker::HalfLife);
  for (int I = 0; I < 2000; ++I)
    Mix.noteRead(Service, work_mix_tracker::MinHeavyTokens);
  EXPECT_NEAR(work_mix_tracker::MinShare, Mix.lightShare(Service),
              work_mix_tracker::Hysteresis);
}
