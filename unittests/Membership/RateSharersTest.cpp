#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Membership.h"
#include <gtest/gtest.h>
#include <memory>

using namespace bluebellkeel;

namespace {

/// Many instances that exchange digests with a sample of their peers.
class rate_sharers_test : public testing::Test {
protected:
  static constexpr std::size_t Count = 120;
  static constexpr milliseconds Round{700};
  static constexpr std::size_t Mentions = 3;

  rate_sharers_test() {
    for (std::size_t I = 0; I < Count; ++I) {
      Records.emplace_back(
          instance_id("edge-" + std::to_string(I)),
          data_centre_id(std::to_string(I % 4)), network_address("10.0.0.1", 1),
          network_address("10.0.0.1", 2), instance_state::Live);
      Views.push_back(std::make_unique<live_instances>(Clock));
    }
    for (auto &View : Views) {
      for (const auto &Record : Records) {
        if (&Record != &Records[indexOf(View)])
          View->recordRegistration(Record);
      }
    }
  }

  std::size_t indexOf(const std::unique_ptr<live_instances> &View) const {
    return static_cast<std::size_t>(&View - Views.data());
  }
  void receive(std::size_t To, std::size_t From) {
    Views[To]->recordContact(Records[From]);
    for (const auto &Record : Views[From]->aliveInTurn(Mentions)) {
      if (Record.id() != Records[To].id())
        Views[To]->recordMention(Record);
    }
    const data_centre_id &Centre = Records[From].dataCentre();
    if (Records[To].dataCentre() != Centre)
      return;
    for (const auto &Report : Views[From]->livenessReports(Centre)) {
      if (Report.id() != Records[To].id())
        Views[To]->recordReport(Report);
    }
  }
  void playRounds(int Rounds) {
    for (int I = 0; I < Rounds; ++I) {
      for (std::size_t From = 0; From < Count; ++From) {
        for (const auto &Peer :
             peer_sampler::sample(Views[From]->knownInstances(),
                                  Records[From].dataCentre(), Random)) {
          std::size_t To = std::stoul(Peer.id().text().substr(5));
          if (Dead.count(To) > 0 || Dead.count(From) > 0)
            continue;
          receive(To, From);
          receive(From, To);
        }
      }
      Clock.advance(Round);
    }
  }

  manual_clock Clock;
  seeded_random Random{7};
  std::vector<instance_record> Records;
  std::vector<std::unique_ptr<live_instances>> Views;
  std::set<std::size_t> Dead;
};

} // namespace

TEST_F(rate_sharers_test, manyInstances_allKnowAllOthers) {
  playRounds(60);
  for (auto &View : Views)
    EXPECT_EQ(Count - 1, View->rateSharers().instances().size());
}

TEST_F(rate_sharers_test, deadInstance_isLeftOutByAll) {
  playRounds(10);
  Dead = {5};
  playRounds(40);
  for (auto &View : Views) {
    if (indexOf(View) == 5)
      continue;
    EXPECT_EQ(Count - 2, View->rateSharers().instances().size());
  }
}
