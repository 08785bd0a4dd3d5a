#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class recent_map_test : public testing::Test {
protected:
  static constexpr std::size_t MaxSize = 10;
  recent_map<int, int> Map{MaxSize};
};

} // namespace

TEST_F(recent_map_test, set_manyKeys_sizeStaysWithinMaximum) {
  for (int Key = 0; Key < 1000; ++Key) {
    Map.set(Key, Key + 1);
    EXPECT_LE(Map.size(), MaxSize);
    EXPECT_EQ(Key + 1, Map.find(Key));
  }
  EXPECT_FALSE(Map.find(0));
}

TEST_F(recent_map_test, set_sameKeyRepeatedly_newestValueIsKept) {
  for (int Key = 1; Key < 1000; ++Key) {
    Map.set(Key, 0);
    Map.set(0, Key);
  }
  EXPECT_EQ(999, Map.find(0));
}
