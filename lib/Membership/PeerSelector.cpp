#include "bluebellkeel/Membership/PeerSelector.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <map>

using namespace bluebellkeel;

using record_list = std::vector<instance_record>;

static void sortByWeight(const instance_id &Self, record_list &Records) {
  std::sort(Records.begin(), Records.end(),
            [&](const instance_record &L, const instance_record &R) {
              return rendezvousWeight(Self.text(), L.id().text()) >
                     rendezvousWeight(Self.text(), R.id().text());
            });
}

record_list bluebellkeel::selectPeers(const instance_id &Self,
                                      const record_list &Listed) {
  std::map<data_centre_id, record_list> ByDataCentre;
  for (const auto &Record : Listed) {
    if (Record.id() != Self)
      ByDataCentre[Record.dataCentre()].push_back(Record);
  }
  std::size_t Longest = 0;
  for (auto &[DataCentre, Records] : ByDataCentre) {
    sortByWeight(Self, Records);
    Longest = std::max(Longest, Records.size());
  }
  record_list Selected;
  for (std::size_t Rank = 0; Rank < Longest; ++Rank) {
    for (const auto &[DataCentre, Records] : ByDataCentre) {
      if (Rank < Records.size() && Selected.size() < MaxHeartbeatPeers)
        Selected.push_back(Records[Rank]);
    }
  }
  return Selected;
}
