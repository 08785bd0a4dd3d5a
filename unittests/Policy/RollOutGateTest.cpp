#include "Support/SeededRandom.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class roll_out_gate_test : public testing::Test {
protected:
  /// Returns the number of ratings until the roll-out is stopped, or \p
  /// MaxRatings if it is not.
  std::uint64_t ratingsToStop(double TrueQuality, std::uint64_t MaxRatings,
                              std::uint64_t Seed) {
    seeded_random Random(Seed);
    quality_counts Counts;
    while (Counts.total() < MaxRatings) {
      bool Good = Random.uniformReal() < TrueQuality;
      Counts = Counts.plus(Good ? quality_counts(1, 0) : quality_counts(0, 1));
      if (roll_out_gate::stopped(Version, Counts))
        return Counts.total();
    }
    return MaxRatings;
  }

  version_settings Version = version_settings(version_id("m@2"))
                                 .withStage(version_stage::Rolling)
                                 .withQuality(0.9)
                                 .withShare(0.3);
};

} // namespace

TEST_F(roll_out_gate_test, goodVersion_overManyRollOuts_isRarelyStopped) {
  int Stopped = 0;
  for (std::uint64_t Seed = 0; Seed < 1000; ++Seed)
    Stopped += ratingsToStop(0.9, 1000, Seed) < 1000 ? 1 : 0;
  // Wald's bound is 1 in 1,000; 5 allows for the variance of a single sample of
  // 1,000.
  EXPECT_LE(Stopped, 5);
}

TEST_F(roll_out_gate_test, badVersion_failingSixtyPercent_isStoppedSoon) {
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed)
    EXPECT_LE(ratingsToStop(0.4, 1000, Seed), roll_out_gate::MinRatings);
}

TEST_F(roll_out_gate_test, exposure_beforeEnoughRatings_isTheTrialShare) {
  seeded_random Random(9);
  int Admitted = 0;
  constexpr int Requests = 100000;
  for (int Index = 0; Index < Requests; ++Index)
    Admitted += roll_out_gate::admits(Version, quality_counts(20, 2), Random);
  EXPECT_NEAR(roll_out_gate::TrialShare, Admitted / double(Requests), 0.003);
}

TEST_F(roll_out_gate_test, exposure_ofAStoppedVersion_isZero) {
  seeded_random Random(9);
  for (int Index = 0; Index < 1000; ++Index)
    EXPECT_FALSE(
        roll_out_gate::admits(Version, quality_counts(10, 40), Random));
}
