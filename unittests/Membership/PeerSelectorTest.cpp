#include "bluebellkeel/Membership.h"
#include <gtest/gtest.h>
#include <set>

using namespace bluebellkeel;

namespace {

class peer_selector_test : public testing::Test {
protected:
  static std::vector<instance_record> makeRecords(int Count, int Centres) {
    std::vector<instance_record> Result;
    Result.reserve(static_cast<std::size_t>(Count));
    for (int Index = 0; Index < Count; ++Index)
      Result.emplace_back(instance_id("i" + std::to_string(Index)),
                          data_centre_id("c" + std::to_string(Index % Centres)),
                          network_address(), network_address(),
                          instance_state::Live);
    return Result;
  }
};

} // namespace

TEST_F(peer_selector_test, fewInstances_areAllSelected) {
  EXPECT_EQ(8U, selectPeers(instance_id("i0"), makeRecords(9, 3)).size());
}

TEST_F(peer_selector_test, manyInstances_selectionIsBoundedAndSpansCentres) {
  auto Selected = selectPeers(instance_id("i0"), makeRecords(330, 6));
  EXPECT_EQ(MaxHeartbeatPeers, Selected.size());
  std::set<data_centre_id> Centres;
  for (const auto &Peer : Selected)
    Centres.insert(Peer.dataCentre());
  EXPECT_EQ(6U, Centres.size());
}

TEST_F(peer_selector_test, owner_whenOneCandidateLeaves_movesOnlyItsKeys) {
  std::vector<instance_id> All;
  All.reserve(9);
  for (int Index = 0; Index < 9; ++Index)
    All.emplace_back("i" + std::to_string(Index));
  std::vector<instance_id> Remaining(All.begin() + 1, All.end());
  for (int Key = 0; Key < 500; ++Key) {
    std::string Text = "upstream-" + std::to_string(Key);
    auto Before = ownerOf(Text, All);
    if (Before == All.front())
      continue;
    EXPECT_EQ(Before, ownerOf(Text, Remaining));
  }
}
