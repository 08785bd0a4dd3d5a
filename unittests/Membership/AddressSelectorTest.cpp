#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Membership.h"
#include <algorithm>
#include <gtest/gtest.h>
#include <map>

using namespace bluebellkeel;

namespace {

class address_selector_test : public testing::Test {
protected:
  void SetUp() override {
    for (int Index = 0; Index < 8; ++Index)
      add(Index, instance_state::Live, /*Serving=*/true, seconds(0));
  }

  static network_address address(int Index) {
    return network_address("127.0.0.1", static_cast<std::uint16_t>(1 + Index));
  }

  void add(int Index, instance_state State, bool Serving, milliseconds Ago) {
    instance_id Id("i" + std::to_string(Index));
    data_centre_id Centre("c" + std::to_string(Index % 4));
    Listed.emplace_back(Id, Centre, address(Index), address(Index), State);
    if (Index > 0)
      Peers.emplace_back(Clock.monotonicNow() - Ago,
                         heartbeat(Id, 1, Serving, log_offset(1), {}));
  }

  address_selection selectAddresses(bool SelfServing = true) {
    return Selector.selectAddresses(Clock.monotonicNow(), SelfServing, Listed,
                                    Peers, ExcludedCentres, Random);
  }

  /// Returns how often each address comes first in \p Selections selections.
  std::map<network_address, int> countFirstAddresses(int Selections) {
    std::map<network_address, int> Counts;
    for (int Index = 0; Index < Selections; ++Index)
      ++Counts[selectAddresses().addresses().front()];
    return Counts;
  }

  manual_clock Clock;
  seeded_random Random{5};
  address_selector Selector{instance_id("i0"),
                            freshness_evaluator(freshness_rules())};
  std::vector<instance_record> Listed;
  std::vector<peer_status> Peers;
  std::set<data_centre_id> ExcludedCentres;
};

} // namespace

TEST_F(address_selector_test,
       manyAnswers_withAllInstancesServing_spreadEvenly) {
  constexpr int Selections = 8000;
  auto Counts = countFirstAddresses(Selections);
  EXPECT_EQ(8U, Counts.size());
  for (const auto &[Address, Count] : Counts) {
    EXPECT_GT(Count, Selections / 8 * 8 / 10) << Address.text();
    EXPECT_LT(Count, Selections / 8 * 12 / 10) << Address.text();
  }
}

TEST_F(address_selector_test,
       answer_withEnoughInstances_hasThreeDistinctAddresses) {
  auto Addresses = selectAddresses().addresses();
  std::set<network_address> Different(Addresses.begin(), Addresses.end());
  EXPECT_EQ(address_selector::MaxAddresses, Different.size());
}

TEST_F(address_selector_test, drainingLeavingAndSilentInstances_areLeftOut) {
  add(8, instance_state::Leaving, true, seconds(0));
  add(9, instance_state::Live, false, seconds(0));
  add(10, instance_state::Live, true, seconds(4));
  auto Counts = countFirstAddresses(2000);
  for (int Index : {8, 9, 10})
    EXPECT_EQ(0, Counts[address(Index)]);
}

TEST_F(address_selector_test, dataCentre_whenExcluded_isLeftOut) {
  ExcludedCentres.insert(data_centre_id("c1"));
  auto Counts = countFirstAddresses(2000);
  EXPECT_EQ(0, Counts[address(1)]);
  EXPECT_EQ(0, Counts[address(5)]);
}

TEST_F(address_selector_test, self_whenDraining_isLeftOut) {
  for (int Round = 0; Round < 200; ++Round) {
    auto Addresses = selectAddresses(/*SelfServing=*/false).addresses();
    EXPECT_EQ(0, std::count(Addresses.begin(), Addresses.end(), address(0)));
  }
}

TEST_F(address_selector_test, answer_withAllPeersSilent_usesListedInstances) {
  Clock.advance(seconds(60));
  EXPECT_EQ(address_selector::MaxAddresses,
            selectAddresses(/*SelfServing=*/false).addresses().size());
}
