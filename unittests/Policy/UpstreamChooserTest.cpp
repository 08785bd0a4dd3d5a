#include "bluebellkeel/Policy.h"
#include <gtest/gtest.h>
#include <map>

using namespace bluebellkeel;

namespace {

class upstream_chooser_test : public testing::Test {
protected:
  static std::vector<upstream_candidate>
  candidates(const std::vector<std::uint32_t> &InFlight) {
    std::vector<upstream_candidate> Result;
    for (std::size_t Index = 0; Index < InFlight.size(); ++Index)
      Result.emplace_back(upstream_id("u" + std::to_string(Index)),
                          InFlight[Index], false);
    return Result;
  }

  affinity_chooser Affinity;
  least_requests_chooser LeastRequests;
  round_robin_chooser RoundRobin;
};

} // namespace

TEST_F(upstream_chooser_test, equalPrefixes_whenIdle_goToTheSameUpstream) {
  auto First = Affinity.order(candidates({0, 0, 0, 0}), fingerprint("x"));
  auto Second = Affinity.order(candidates({0, 0, 0, 0}), fingerprint("x"));
  EXPECT_EQ(First.front(), Second.front());
}

TEST_F(upstream_chooser_test, preferredUpstream_whenOverloaded_isNotFirst) {
  auto Preferred =
      Affinity.order(candidates({0, 0, 0, 0}), fingerprint("x")).front().id();
  std::vector<std::uint32_t> Loads(4, 1);
  Loads[static_cast<std::size_t>(Preferred.text()[1] - '0')] = 9;
  auto Order = Affinity.order(candidates(Loads), fingerprint("x"));
  EXPECT_NE(Preferred, Order.front().id());
  EXPECT_EQ(4U, Order.size());
}

TEST_F(upstream_chooser_test, leastRequests_ordersByLoad) {
  auto Order = LeastRequests.order(candidates({3, 1, 2}), fingerprint("x"));
  EXPECT_EQ(upstream_id("u1"), Order[0].id());
  EXPECT_EQ(upstream_id("u0"), Order[2].id());
}

TEST_F(upstream_chooser_test, roundRobin_takesEachInTurn) {
  std::map<upstream_id, int> Firsts;
  for (int Index = 0; Index < 9; ++Index)
    ++Firsts[RoundRobin.order(candidates({0, 0, 0}), fingerprint("x"))
                 .front()
                 .id()];
  for (const auto &[Id, Count] : Firsts)
    EXPECT_EQ(3, Count);
}
