#ifndef BLUEBELLKEEL_MEMBERSHIP_COLLECTORELECTION_H
#define BLUEBELLKEEL_MEMBERSHIP_COLLECTORELECTION_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Elects the instances of a data centre that collect the loads, by rendezvous
/// hashing among the live ones. Instances whose views differ may choose
/// different collectors; each then serves those that chose it.
class collector_election {
public:
  /// Most instances that one collector serves while their choices are even.
  static constexpr std::size_t GroupSize = 32;

  /// Returns the collectors of \p Centre, one for each GroupSize live instances
  /// or part of it; empty if no instance there is live.
  static std::vector<instance_record>
  collectorsOf(const data_centre_id &Centre,
               const std::vector<instance_record> &Live);
  /// Returns the collector that \p Self contributes to, possibly itself; empty
  /// if no instance of \p Centre is live.
  static std::optional<instance_record>
  collectorFor(const instance_id &Self, const data_centre_id &Centre,
               const std::vector<instance_record> &Live);
  /// Returns the collectors of all data centres but \p Self.
  static std::vector<instance_record>
  otherCollectors(const instance_id &Self,
                  const std::vector<instance_record> &Live);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_COLLECTORELECTION_H
