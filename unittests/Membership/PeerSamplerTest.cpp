#include "Support/SeededRandom.h"
#include "bluebellkeel/Membership.h"
#include <gtest/gtest.h>
#include <set>

using namespace bluebellkeel;

namespace {

class peer_sampler_test : public testing::Test {
protected:
  static std::vector<instance_record> makeRecords(int Count) {
    std::vector<instance_record> Records;
    Records.reserve(static_cast<std::size_t>(Count));
    for (int I = 0; I < Count; ++I)
      Records.emplace_back(instance_id("edge-" + std::to_string(I)),
                           data_centre_id(I % 4 == 0 ? "north" : "south"),
                           network_address("10.0.0.1", 1),
                           network_address("10.0.0.1", 2),
                           instance_state::Live);
    return Records;
  }

  seeded_random Random{7};
  data_centre_id North{"north"};
};

} // namespace

TEST_F(peer_sampler_test, fewPeers_areAllSampled) {
  EXPECT_EQ(8U, peer_sampler::sample(makeRecords(8), North, Random).size());
}

TEST_F(peer_sampler_test, manyPeers_sampleSizeStaysConstant) {
  auto Few = peer_sampler::sample(makeRecords(80), North, Random);
  auto Many = peer_sampler::sample(makeRecords(300), North, Random);
  EXPECT_EQ(peer_sampler::LocalPerRound + peer_sampler::RemotePerRound,
            Few.size());
  EXPECT_EQ(Few.size(), Many.size());
  EXPECT_EQ(Many.size(),
            std::set<instance_record>(Many.begin(), Many.end()).size());
}

TEST_F(peer_sampler_test, manyRounds_reachEveryPeer) {
  std::set<instance_id> Reached;
  for (int Round = 0; Round < 200; ++Round) {
    for (const auto &Peer :
         peer_sampler::sample(makeRecords(81), North, Random))
      Reached.insert(Peer.id());
  }
  EXPECT_EQ(81U, Reached.size());
}

TEST_F(peer_sampler_test, readers_amongManyInstances_areElectedPerDataCentre) {
  auto All = makeRecords(80);
  int Readers = 0;
  for (const auto &Instance : All) {
    std::vector<instance_record> Others;
    for (const auto &Other : All) {
      if (Other.id() != Instance.id())
        Others.push_back(Other);
    }
    Readers += reader_election::isRedundantReader(Instance.id(),
                                                  Instance.dataCentre(), Others)
                   ? 0
                   : 1;
  }
  EXPECT_EQ(2 * reader_election::Readers, static_cast<std::size_t>(Readers));
}
