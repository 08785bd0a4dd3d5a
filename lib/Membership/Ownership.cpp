#include "bluebellkeel/Membership/Ownership.h"
#include "bluebellkeel/Core/StableHash.h"

using namespace bluebellkeel;

std::optional<instance_id>
bluebellkeel::ownerOf(std::string_view Key,
                      const std::vector<instance_id> &Candidates) {
  std::optional<instance_id> Owner;
  std::uint64_t Highest = 0;
  for (const auto &Candidate : Candidates) {
    std::uint64_t Weight = rendezvousWeight(Key, Candidate.text());
    if (Owner && Weight < Highest)
      continue;
    Owner = Candidate;
    Highest = Weight;
  }
  return Owner;
}
