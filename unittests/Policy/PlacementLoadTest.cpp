#include "Support/ListingOf.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Policy.h"
#include <algorithm>
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

/// Share of the requests of each kind that got their first token in time.
struct shares_in_time {
  double Light;
  double Heavy;
};

/// Deciders send light and heavy reads to upstreams that read one prompt after
/// another, some of them slowly, and see the queues of 300 ms ago.
class placement_load_test : public testing::Test {
protected:
  static constexpr int Upstreams = 16;
  static constexpr int Steps = 6000;
  static constexpr double StepMillis = 5;
  static constexpr int ReportSteps = 60;
  static constexpr double LightTokens = 600;
  static constexpr double HeavyTokens = 8000;
  static constexpr double HeavyTokenTime = 10;

  /// An upstream is slow in 15% of the periods of 600 ms.
  static double factorAt(int Upstream, int Step) {
    constexpr int PeriodSteps = 120;
    return stableHash(std::to_string(Upstream) + "/" +
                      std::to_string(Step / PeriodSteps)) %
                       100 <
                   15
               ? 2.5
               : 1.0;
  }

  std::string choose(const placement_policy &Policy, const std::string &Request,
                     const prompt &Prompt, double TokenTime) const {
    upstream_partition Partition(Ids, Prompt);
    std::vector<std::pair<std::uint64_t, placement_candidate>> Shuffled;
    Shuffled.reserve(Upstreams);
    for (int U = 0; U < Upstreams; ++U) {
      placement_candidate::fields Fields;
      Fields.Listing = upstream_listing(listingOf(Ids[U].text()));
      Fields.Load = {0, Reported[U], 0, 0, ReportedFactor[U]};
      Fields.ReservedForSmallModels = Partition.reservedForSmallModels(Ids[U]);
      Shuffled.emplace_back(rendezvousWeight(Request, Ids[U].text()),
                            placement_candidate(std::move(Fields)));
    }
    std::sort(Shuffled.begin(), Shuffled.end());
    std::vector<placement_candidate> Candidates;
    Candidates.reserve(Shuffled.size());
    for (auto &[Weight, Candidate] : Shuffled)
      Candidates.push_back(std::move(Candidate));
    return Policy.order(std::move(Candidates), Prompt, TokenTime)
        .front()
        .listing()
        .id()
        .text();
  }

  /// Sends a read; returns its time to the first token at the present speed.
  double send(const placement_policy &Policy, int Request, int Step,
              double Tokens, double TokenTime) {
    auto Count = static_cast<std::uint64_t>(Tokens);
    auto Id = choose(Policy, std::to_string(Request),
                     {Count, 100, 100, {{"own", Count}}}, TokenTime);
    int U = std::stoi(Id);
    Queued[U] += Tokens * TokenTime;
    return Queued[U] / reading_speed_tracker::StartSpeed * factorAt(U, Step);
  }

  shares_in_time play(const placement_policy &Policy) {
    constexpr double LightLimit = 120;
    constexpr double HeavyLimit = 1500;
    constexpr int LightPerStep = 2;
    constexpr int HeavySteps = 8;
    int Request = 0, LightInTime = 0, HeavyInTime = 0;
    Queued.assign(Upstreams, 0);
    for (int Step = 0; Step < Steps; ++Step) {
      for (int U = 0; U < Upstreams; ++U) {
        double Read = StepMillis * reading_speed_tracker::StartSpeed;
        Queued[U] = std::max(0.0, Queued[U] - Read / factorAt(U, Step));
        if (Step % ReportSteps != 0)
          continue;
        Reported[U] = Queued[U];
        ReportedFactor[U] = factorAt(U, Step);
      }
      for (int I = 0; I < LightPerStep; ++I)
        LightInTime +=
            send(Policy, ++Request, Step, LightTokens, 1) <= LightLimit;
      if (Step % HeavySteps == 0)
        HeavyInTime += send(Policy, ++Request, Step, HeavyTokens,
                            HeavyTokenTime) <= HeavyLimit;
    }
    return {double(LightInTime) / (LightPerStep * Steps),
            double(HeavyInTime) * HeavySteps / Steps};
  }

  void SetUp() override {
    Ids.reserve(Upstreams);
    for (int U = 0; U < Upstreams; ++U)
      Ids.emplace_back(std::to_string(U));
  }

  std::vector<upstream_id> Ids;
  std::vector<double> Queued;
  std::vector<double> Reported = std::vector<double>(Upstreams);
  std::vector<double> ReportedFactor = std::vector<double>(Upstreams, 1);
};

} // namespace

TEST_F(placement_load_test, lightBesideHeavyReads_bothMeetTheirLimits) {
  reading_speed_tracker Speeds;
  queued_work_estimator Estimator(Speeds);
  cheapest_placement Baseline;
  auto Before = play(Baseline);
  auto After = play(expected_wait_placement(Estimator, Baseline));
  EXPECT_GE(After.Light, 0.99);
  EXPECT_GE(After.Heavy, 0.85);
  EXPECT_GT(After.Light, Before.Light);
  EXPECT_GT(After.Heavy, Before.Heavy + 0.1);
}
