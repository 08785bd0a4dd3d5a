#include "bluebellkeel/Membership.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class reader_election_test : public testing::Test {
protected:
  static instance_record makeInstance(int Index, const std::string &Centre) {
    return instance_record(instance_id("g" + std::to_string(Index)),
                           data_centre_id(Centre), network_address(),
                           network_address(), instance_state::Live);
  }
  /// Returns the number of instances of \p All in the north that read the log.
  static std::size_t countReaders(const std::vector<instance_record> &All) {
    std::size_t Count = 0;
    for (const auto &Self : All) {
      std::vector<instance_record> Others;
      for (const auto &Other : All) {
        if (Other.id() != Self.id())
          Others.push_back(Other);
      }
      bool North = Self.dataCentre() == data_centre_id("north");
      if (North && !reader_election::isRedundantReader(
                       Self.id(), Self.dataCentre(), Others))
        ++Count;
    }
    return Count;
  }
};

} // namespace

TEST_F(reader_election_test, instances_withSameView_agreeOnReaders) {
  constexpr int Instances = 40;
  std::vector<instance_record> All;
  All.reserve(Instances);
  for (int I = 0; I < Instances; ++I)
    All.push_back(makeInstance(I, I % 2 == 0 ? "north" : "south"));
  EXPECT_EQ(reader_election::Readers, countReaders(All));
}

TEST_F(reader_election_test, onlyInstanceOfCentre_readsLog) {
  std::vector<instance_record> All = {makeInstance(0, "north")};
  for (int I = 1; I < 20; ++I)
    All.push_back(makeInstance(I, "south"));
  EXPECT_EQ(1U, countReaders(All));
}
