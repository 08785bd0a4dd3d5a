#include "UnknownConnections.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class unknown_connections_test : public testing::Test {
protected:
  using handle = unknown_connections::handle;

  /// Returns a handle that is equal to no other.
  handle newHandle() {
    Owners.push_back(std::make_shared<int>());
    return Owners.back();
  }
  /// Adds as many connections as there may be; returns the oldest.
  handle fill() {
    handle Oldest = newHandle();
    EXPECT_FALSE(Unknown.add(Oldest, Now));
    while (Unknown.size() < unknown_connections::MaxConnections)
      EXPECT_FALSE(Unknown.add(newHandle(), Now));
    return Oldest;
  }
  static bool same(const handle &L, const handle &R) {
    return L.lock() == R.lock();
  }

  std::vector<std::shared_ptr<void>> Owners;
  monotonic_time Now{std::chrono::hours(1)};
  unknown_connections Unknown;
};

} // namespace

TEST_F(unknown_connections_test, add_whenFullOfYoungOnes_closesTheNewOne) {
  fill();
  handle New = newHandle();
  auto Closing =
      Unknown.add(New, Now + unknown_connections::MinAge - milliseconds(1));
  ASSERT_TRUE(Closing);
  EXPECT_TRUE(same(New, *Closing));
  EXPECT_EQ(unknown_connections::MaxConnections, Unknown.size());
}

TEST_F(unknown_connections_test, add_whenFull_closesTheOldest) {
  handle Oldest = fill();
  auto Closing = Unknown.add(newHandle(), Now + unknown_connections::MinAge);
  ASSERT_TRUE(Closing);
  EXPECT_TRUE(same(Oldest, *Closing));
  EXPECT_EQ(unknown_connections::MaxConnections, Unknown.size());
}

TEST_F(unknown_connections_test, remove_makesRoom) {
  handle Oldest = fill();
  EXPECT_TRUE(Unknown.remove(Oldest));
  EXPECT_FALSE(Unknown.remove(Oldest));
  EXPECT_FALSE(Unknown.add(newHandle(), Now));
}

TEST_F(unknown_connections_test, takeExpired_afterMaxAge_returnsEachOnce) {
  handle First = newHandle();
  Unknown.add(First, Now);
  Unknown.add(newHandle(), Now + milliseconds(1));
  EXPECT_TRUE(
      Unknown.takeExpired(Now + unknown_connections::MaxAge - milliseconds(1))
          .empty());
  auto Expired = Unknown.takeExpired(Now + unknown_connections::MaxAge);
  ASSERT_EQ(1U, Expired.size());
  EXPECT_TRUE(same(First, Expired.front()));
  EXPECT_EQ(1U, Unknown.size());
}
