#include "Support/SeededRandom.h"
#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class quality_tracker_test : public testing::Test {
protected:
  quality_tracker Tracker{instance_id("self")};
  version_id Version{"m@1"};
};
} // namespace

TEST_F(quality_tracker_test, totalsOfOthers_lateOrRepeated_countOnce) {
  Tracker.rate(Version, true);
  Tracker.merge(instance_id("p"), Version, quality_counts(5, 2));
  Tracker.merge(instance_id("p"), Version, quality_counts(3, 1));
  Tracker.merge(instance_id("p"), Version, quality_counts(5, 2));
  EXPECT_EQ(quality_counts(6, 2), Tracker.totals(Version));
}

TEST_F(quality_tracker_test, ownTotals_reportedByOthers_areNotCountedAgain) {
  Tracker.rate(Version, false);
  Tracker.merge(instance_id("self"), Version, quality_counts(100, 0));
  EXPECT_EQ(quality_counts(0, 1), Tracker.totals(Version));
}

TEST_F(quality_tracker_test, estimate_withoutRatings_equalsThePrior) {
  quality_estimate Estimate(0.9, quality_counts());
  EXPECT_DOUBLE_EQ(0.9, Estimate.lowerBound());
}

TEST_F(quality_tracker_test, estimate_withManyRatings_followsThem) {
  quality_estimate Estimate(0.9, quality_counts(500, 500));
  EXPECT_LT(Estimate.lowerBound(), 0.51);
  EXPECT_GT(Estimate.lowerBound(), 0.45);
}

TEST_F(quality_tracker_test,
       versionThatTurnsBad_afterManyGoodRatings_isRefuted) {
  for (int Index = 0; Index < 5000; ++Index)
    Tracker.rate(Version, Index % 20 != 0);
  EXPECT_TRUE(meetsTarget(0.95, 0.8, Tracker.recent(Version)));
  int Needed = 0;
  while (meetsTarget(0.95, 0.8, Tracker.recent(Version)) && Needed < 1000)
    Tracker.rate(Version, ++Needed % 5 < 2);
  EXPECT_LT(Needed, 150);
  // Baseline: the totals since the start do not refute the version yet.
  EXPECT_TRUE(meetsTarget(0.95, 0.8, Tracker.totals(Version)));
}

TEST_F(quality_tracker_test, goodVersion_overManyRatings_isRarelyRefuted) {
  int Refuted = 0;
  for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
    seeded_random Random(Seed);
    quality_tracker Fresh(instance_id("self"));
    bool Met = true;
    for (int Index = 0; Index < 1000 && Met; ++Index) {
      Fresh.rate(Version, Random.uniformReal() < 0.85);
      Met = meetsTarget(0.85, 0.80, Fresh.recent(Version));
    }
    Refuted += Met ? 0 : 1;
  }
  EXPECT_LE(Refuted, 3);
}

TEST_F(quality_tracker_test,
       versionExpectedBelowTarget_provedByRatings_meetsIt) {
  EXPECT_FALSE(meetsTarget(0.7, 0.8, quality_counts(40, 2)));
  EXPECT_TRUE(meetsTarget(0.7, 0.8, quality_counts(380, 20)));
}
