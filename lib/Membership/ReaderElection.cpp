#include "bluebellkeel/Membership/ReaderElection.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

bool reader_election::isRedundantReader(
    const instance_id &Self, const data_centre_id &LocalCentre,
    const std::vector<instance_record> &Alive) {
  constexpr std::string_view RendezvousKey = "reads-the-log";
  std::uint64_t Own = rendezvousWeight(RendezvousKey, Self.text());
  auto Preceding = std::count_if(
      Alive.begin(), Alive.end(), [&](const instance_record &Other) {
        return Other.dataCentre() == LocalCentre &&
               Other.state() == instance_state::Live &&
               rendezvousWeight(RendezvousKey, Other.id().text()) > Own;
      });
  return static_cast<std::size_t>(Preceding) >= Readers;
}
