#include "bluebellkeel/Membership/CollectorElection.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <set>

using namespace bluebellkeel;

std::vector<instance_record>
collector_election::collectorsOf(const data_centre_id &Centre,
                                 const std::vector<instance_record> &Live) {
  constexpr std::string_view RendezvousKey = "collects-loads";
  std::vector<instance_record> Members;
  for (const auto &Record : Live) {
    if (Record.dataCentre() == Centre && Record.state() == instance_state::Live)
      Members.push_back(Record);
  }
  std::sort(Members.begin(), Members.end(),
            [&](const instance_record &L, const instance_record &R) {
              return rendezvousWeight(RendezvousKey, L.id().text()) >
                     rendezvousWeight(RendezvousKey, R.id().text());
            });
  Members.resize((Members.size() + GroupSize - 1) / GroupSize);
  return Members;
}

std::optional<instance_record>
collector_election::collectorFor(const instance_id &Self,
                                 const data_centre_id &Centre,
                                 const std::vector<instance_record> &Live) {
  std::vector<instance_record> Collectors = collectorsOf(Centre, Live);
  if (Collectors.empty())
    return std::nullopt;
  return *std::max_element(
      Collectors.begin(), Collectors.end(),
      [&](const instance_record &L, const instance_record &R) {
        return rendezvousWeight(Self.text(), L.id().text()) <
               rendezvousWeight(Self.text(), R.id().text());
      });
}

std::vector<instance_record>
collector_election::otherCollectors(const instance_id &Self,
                                    const std::vector<instance_record> &Live) {
  std::set<data_centre_id> Centres;
  for (const auto &Record : Live)
    Centres.insert(Record.dataCentre());
  std::vector<instance_record> Others;
  for (const auto &Centre : Centres) {
    for (auto &Collector : collectorsOf(Centre, Live)) {
      if (Collector.id() != Self)
        Others.push_back(std::move(Collector));
    }
  }
  return Others;
}
