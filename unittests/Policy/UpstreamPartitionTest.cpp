#include "bluebellkeel/Policy.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class upstream_partition_test : public testing::Test {
protected:
  static std::vector<upstream_id> ids(std::size_t Count) {
    std::vector<upstream_id> Ids;
    Ids.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Ids.emplace_back("u" + std::to_string(I));
    return Ids;
  }
  std::size_t countReserved(std::size_t Count) const {
    auto Ids = ids(Count);
    upstream_partition Partition(Ids, Prompt);
    return static_cast<std::size_t>(
        std::count_if(Ids.begin(), Ids.end(), [&](const upstream_id &Id) {
          return Partition.reservedForSmallModels(Id);
        }));
  }

  const prompt Prompt{6000, 400, 300, {{"shared", 5000}, {"own", 1000}}};
};

} // namespace

TEST_F(upstream_partition_test, reservedPart_isAQuarterOrEmptyForFewUpstreams) {
  EXPECT_EQ(0U, countReserved(3));
  EXPECT_EQ(2U, countReserved(9));
  EXPECT_EQ(16U, countReserved(64));
}

TEST_F(upstream_partition_test, plainServices_haveNoReservedPart) {
  auto Ids = ids(9);
  upstream_partition Partition(Ids, prompt());
  for (const auto &Id : Ids)
    EXPECT_FALSE(Partition.reservedForSmallModels(Id));
}

TEST_F(upstream_partition_test, fewUpstreams_areAllShortlisted) {
  constexpr std::size_t Few = upstream_partition::MaxUnsampledUpstreams;
  upstream_partition Partition(ids(Few), Prompt);
  EXPECT_EQ(Few, Partition.shortlist("r").size());
}

TEST_F(upstream_partition_test, manyUpstreams_shortlistIsASampleWithTheHomes) {
  auto Ids = ids(64);
  upstream_partition Partition(Ids, Prompt);
  auto Shortlisted = Partition.shortlist("r");
  EXPECT_LE(Shortlisted.size(), upstream_partition::SampleSize + 4);
  for (const auto &Id : Ids)
    EXPECT_TRUE(!Partition.home(Id) || Shortlisted.count(Id) == 1) << Id.text();
}

TEST_F(upstream_partition_test,
       manyRequests_shortlistEveryUpstreamAboutEquallyOften) {
  constexpr int Requests = 6400;
  constexpr std::size_t Upstreams = 64;
  upstream_partition Partition(ids(Upstreams), prompt());
  std::map<upstream_id, int> Shortlisted;
  for (int I = 0; I < Requests; ++I) {
    for (const auto &Id : Partition.shortlist("r" + std::to_string(I)))
      ++Shortlisted[Id];
  }
  EXPECT_EQ(Upstreams, Shortlisted.size());
  int Mean = Requests * int(upstream_partition::SampleSize) / int(Upstreams);
  for (const auto &[Id, Count] : Shortlisted) {
    EXPECT_GT(Count, Mean * 3 / 4) << Id.text();
    EXPECT_LT(Count, Mean * 5 / 4) << Id.text();
  }
}

RC_GTEST_FIXTURE_PROP(upstream_partition_test,
                      anyOrderOfUpstreams_givesTheSamePartition, ()) {
  auto Ids = ids(*rc::gen::inRange<std::size_t>(1, 100));
  upstream_partition Partition(Ids, Prompt);
  auto Shuffled = Ids;
  std::rotate(Shuffled.begin(),
              Shuffled.begin() +
                  *rc::gen::inRange<std::ptrdiff_t>(
                      0, static_cast<std::ptrdiff_t>(Ids.size())),
              Shuffled.end());
  upstream_partition Other(Shuffled, Prompt);
  for (const auto &Id : Ids) {
    RC_ASSERT(Partition.reservedForSmallModels(Id) ==
              Other.reservedForSmallModels(Id));
    RC_ASSERT(Partition.home(Id) == Other.home(Id));
  }
  RC_ASSERT(Partition.shortlist("r") == Other.shortlist("r"));
}
