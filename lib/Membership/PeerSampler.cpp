#include "bluebellkeel/Membership/PeerSampler.h"
#include <algorithm>

using namespace bluebellkeel;

/// Appends \p Count randomly drawn elements of \p Records to \p Picked, or all
/// of them if there are fewer.
static void draw(std::vector<instance_record> Records, std::size_t Count,
                 random_source &Random, std::vector<instance_record> &Picked) {
  for (; Count > 0 && !Records.empty(); --Count) {
    std::swap(Records[Random.uniformBelow(Records.size())], Records.back());
    Picked.push_back(std::move(Records.back()));
    Records.pop_back();
  }
}

std::vector<instance_record>
peer_sampler::sample(const std::vector<instance_record> &Known,
                     const data_centre_id &LocalCentre, random_source &Random) {
  if (Known.size() <= FullMeshLimit)
    return Known;
  std::vector<instance_record> Local;
  std::vector<instance_record> Remote;
  for (const auto &Record : Known)
    (Record.dataCentre() == LocalCentre ? Local : Remote).push_back(Record);
  std::vector<instance_record> Picked;
  draw(std::move(Local), LocalPerRound, Random, Picked);
  draw(std::move(Remote), RemotePerRound, Random, Picked);
  return Picked;
}
