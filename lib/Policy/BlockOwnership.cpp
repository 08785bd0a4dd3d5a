#include "bluebellkeel/Policy/BlockOwnership.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

bool bluebellkeel::ownsBlock(std::string_view Block, const instance_id &Self,
                             const std::vector<instance_id> &Instances) {
  std::uint64_t OwnWeight = rendezvousWeight(Block, Self.text());
  return std::none_of(
      Instances.begin(), Instances.end(), [&](const instance_id &Instance) {
        return rendezvousWeight(Block, Instance.text()) > OwnWeight;
      });
}
