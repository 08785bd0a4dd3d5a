#ifndef BLUEBELLKEEL_MEMBERSHIP_PEERSAMPLER_H
#define BLUEBELLKEEL_MEMBERSHIP_PEERSAMPLER_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Samples the peers of one digest round. Up to FullMeshLimit peers are all
/// included. Above this, each round includes some peers of the local data
/// centre and a few of the others, so that the traffic of one instance stays
/// constant.
class peer_sampler {
public:
  /// Most peers that are all included in each round.
  static constexpr std::size_t FullMeshLimit = 16;
  static constexpr std::size_t LocalPerRound = 8;
  static constexpr std::size_t RemotePerRound = 3;

  static std::vector<instance_record>
  sample(const std::vector<instance_record> &Known,
         const data_centre_id &LocalCentre, random_source &Random);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_PEERSAMPLER_H
