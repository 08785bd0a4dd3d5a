#ifndef BLUEBELLKEEL_MEMBERSHIP_NEARESTADDRESSSELECTOR_H
#define BLUEBELLKEEL_MEMBERSHIP_NEARESTADDRESSSELECTOR_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Selects the instances that callers connect to: those in the caller's data
/// centre first, since traffic between data centres is costly, and others only
/// while local instances are few.
class nearest_address_selector {
public:
  /// With fewer local instances than this, remote ones are added, so that a
  /// caller can fall back to another instance when one fails.
  static constexpr std::size_t MinAddresses = 2;
  /// Most addresses that a caller reads from one response.
  static constexpr std::size_t MaxAddresses = 64;

  /// Time for which callers may keep a response. Short, so that callers soon
  /// leave a departing instance.
  static constexpr seconds Lifetime{2};

  /// Returns the addresses for a caller in \p CallerCentre.
  /// \param Serving the live instances, including this one if it serves.
  static std::vector<network_address>
  selectAddresses(const std::vector<instance_record> &Serving,
                  const data_centre_id &CallerCentre);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_NEARESTADDRESSSELECTOR_H
