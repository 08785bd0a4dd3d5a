#ifndef BLUEBELLKEEL_MEMBERSHIP_NEARESTADDRESSSELECTOR_H
#define BLUEBELLKEEL_MEMBERSHIP_NEARESTADDRESSSELECTOR_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Tells callers at which instances to connect: those in their own data centre
/// first, since crossing costs, and others only while these are few.
class nearest_address_selector {
public:
  /// Callers should have somewhere to go when one instance fails them.
  static constexpr std::size_t MinAddresses = 2;
  /// Most addresses that a caller reads of one answer.
  static constexpr std::size_t MaxAddresses = 64;

  /// How long callers may keep an answer: short, so that one that leaves loses
  /// its callers soon.
  static constexpr seconds Lifetime{2};

  /// \param Serving the live instances, this one among them if it serves.
  static std::vector<network_address>
  selectAddresses(const std::vector<instance_record> &Serving,
                  const data_centre_id &CallerCentre);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_NEARESTADDRESSSELECTOR_H
