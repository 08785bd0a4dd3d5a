#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class quality_book_test : public testing::Test {
protected:
  quality_book Book{instance_id("self")};
  version_id Version{"m@1"};
};
} // namespace

TEST_F(quality_book_test, totalsOfOthers_lateOrTwice_countOnce) {
  Book.rate(Version, true);
  Book.merge(instance_id("p"), Version, quality_counts(5, 2));
  Book.merge(instance_id("p"), Version, quality_counts(3, 1));
  Book.merge(instance_id("p"), Version, quality_counts(5, 2));
  EXPECT_EQ(quality_counts(6, 2), Book.counts(Version));
}

TEST_F(quality_book_test, ownTotals_toldByOthers_areNotCountedAgain) {
  Book.rate(Version, false);
  Book.merge(instance_id("self"), Version, quality_counts(100, 0));
  EXPECT_EQ(quality_counts(0, 1), Book.counts(Version));
}

TEST_F(quality_book_test, estimate_withoutRatings_isTheOperators) {
  quality_estimate Estimate(0.9, quality_counts());
  EXPECT_DOUBLE_EQ(0.9, Estimate.lowerBound());
}

TEST_F(quality_book_test, estimate_withManyRatings_followsThem) {
  quality_estimate Estimate(0.9, quality_counts(500, 500));
  EXPECT_LT(Estimate.lowerBound(), 0.51);
  EXPECT_GT(Estimate.lowerBound(), 0.45);
}
