#include "bluebellkeel/Membership/ReaderElection.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

bool reader_election::isSpared(const instance_id &Self,
                               const data_centre_id &Home,
                               const std::vector<instance_record> &Alive) {
  constexpr std::string_view Duty = "reads-the-log";
  std::uint64_t Own = rendezvousWeight(Duty, Self.text());
  auto Before = std::count_if(
      Alive.begin(), Alive.end(), [&](const instance_record &Other) {
        return Other.dataCentre() == Home &&
               Other.state() == instance_state::Live &&
               rendezvousWeight(Duty, Other.id().text()) > Own;
      });
  return static_cast<std::size_t>(Before) >= Readers;
}
