#ifndef BLUEBELLKEEL_MEMBERSHIP_PEERSAMPLER_H
#define BLUEBELLKEEL_MEMBERSHIP_PEERSAMPLER_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Picks the peers of one round. Few instances all talk to each other; among
/// many, each round reaches some of the own data centre and a few of the
/// others, so that what one instance sends stays constant.
class peer_sampler {
public:
  /// Up to so many peers are all asked each round.
  static constexpr std::size_t FullMeshLimit = 16;
  static constexpr std::size_t LocalPerRound = 8;
  static constexpr std::size_t RemotePerRound = 3;

  static std::vector<instance_record>
  sample(const std::vector<instance_record> &Known,
         const data_centre_id &LocalCentre, random_source &Random);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_PEERSAMPLER_H
