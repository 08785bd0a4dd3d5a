#include "bluebellkeel/Membership.h"
#include <gtest/gtest.h>
#include <map>
#include <set>

using namespace bluebellkeel;

namespace {

class collector_election_test : public testing::Test {
protected:
  static std::vector<instance_record> instances(int Count, int Centres) {
    std::vector<instance_record> All;
    All.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      All.emplace_back(instance_id("g" + std::to_string(I)),
                       data_centre_id("z" + std::to_string(I % Centres)),
                       network_address(), network_address(),
                       instance_state::Live);
    return All;
  }
  /// Returns the number of instances that each collector serves.
  static std::map<instance_id, int>
  groups(const std::vector<instance_record> &All) {
    std::map<instance_id, int> Sizes;
    for (const auto &Self : All)
      ++Sizes[collector_election::collectorFor(Self.id(), Self.dataCentre(),
                                               All)
                  ->id()];
    return Sizes;
  }
};

} // namespace

TEST_F(collector_election_test, smallCentre_hasOneCollectorWithin) {
  auto All = instances(70, 3);
  EXPECT_EQ(3U, groups(All).size());
  for (const auto &Self : All)
    EXPECT_EQ(Self.dataCentre(), collector_election::collectorFor(
                                     Self.id(), Self.dataCentre(), All)
                                     ->dataCentre());
}

TEST_F(collector_election_test, largeCentre_sharesItsInstancesOut) {
  auto Sizes = groups(instances(330, 3));
  EXPECT_EQ(12U, Sizes.size());
  for (const auto &[Collector, Size] : Sizes)
    EXPECT_LE(Size, 2 * static_cast<int>(collector_election::GroupSize));
}

TEST_F(collector_election_test, lostCollector_isReplacedForItsGroupOnly) {
  auto All = instances(70, 3);
  auto Lost = collector_election::collectorsOf(data_centre_id("z0"), All);
  ASSERT_EQ(1U, Lost.size());
  std::vector<instance_record> Left;
  for (const auto &Record : All) {
    if (Record != Lost.front())
      Left.push_back(Record);
  }
  EXPECT_NE(Lost, collector_election::collectorsOf(data_centre_id("z0"), Left));
  for (const char *Centre : {"z1", "z2"})
    EXPECT_EQ(collector_election::collectorsOf(data_centre_id(Centre), All),
              collector_election::collectorsOf(data_centre_id(Centre), Left));
}

TEST_F(collector_election_test, leavingInstances_areNotElected) {
  std::vector<instance_record> All = {
      instance_record(instance_id("g"), data_centre_id("z"), network_address(),
                      network_address(), instance_state::Leaving)};
  EXPECT_FALSE(collector_election::collectorFor(instance_id("g"),
                                                data_centre_id("z"), All));
}

TEST_F(collector_election_test, otherCollectors_areOfAllCentresWithoutSelf) {
  auto All = instances(70, 3);
  instance_id Self =
      collector_election::collectorsOf(data_centre_id("z0"), All).front().id();
  auto Others = collector_election::otherCollectors(Self, All);
  ASSERT_EQ(2U, Others.size());
  for (const auto &Other : Others)
    EXPECT_NE(data_centre_id("z0"), Other.dataCentre());
}
