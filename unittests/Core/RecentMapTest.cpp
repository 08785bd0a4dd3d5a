#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class recent_set_test : public testing::Test {
protected:
  static constexpr std::size_t MaxSize = 10;
  recent_set<int> Set{MaxSize};
};

} // namespace

TEST_F(recent_set_test, add_manyValues_sizeStaysWithinMaximum) {
  for (int Value = 0; Value < 1000; ++Value) {
    Set.add(Value);
    EXPECT_LE(Set.size(), MaxSize);
    EXPECT_TRUE(Set.contains(Value));
  }
  EXPECT_FALSE(Set.contains(0));
}

TEST_F(recent_set_test, add_sameValueRepeatedly_valueIsKept) {
  for (int Value = 1; Value < 1000; ++Value) {
    Set.add(Value);
    Set.add(0);
  }
  EXPECT_TRUE(Set.contains(0));
}
