#include "bluebellkeel/Core.h"
#include <gtest/gtest.h>
#include <map>
#include <thread>
#include <vector>

using namespace bluebellkeel;

namespace {
class sharded_test : public testing::Test {
protected:
  using count_map = std::map<std::string, int>;
  sharded<count_map> Counts;
};
} // namespace

TEST_F(sharded_test, withShard_manyThreads_losesNoUpdate) {
  constexpr int Rounds = 2000;
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int Index = 0; Index < 4; ++Index) {
    Threads.emplace_back([&] {
      for (int Round = 0; Round < Rounds; ++Round) {
        std::string Key = "key-" + std::to_string(Round % 7);
        Counts.withShard(Key, [&](count_map &Shard) { ++Shard[Key]; });
      }
    });
  }
  for (auto &Thread : Threads)
    Thread.join();
  int Total = 0;
  Counts.forEachShard([&](count_map &Shard) {
    for (const auto &[Key, Count] : Shard)
      Total += Count;
  });
  EXPECT_EQ(4 * Rounds, Total);
}
