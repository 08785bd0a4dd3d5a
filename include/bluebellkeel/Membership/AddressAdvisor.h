#ifndef BLUEBELLKEEL_MEMBERSHIP_ADDRESSADVISOR_H
#define BLUEBELLKEEL_MEMBERSHIP_ADDRESSADVISOR_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Membership/AddressAdvice.h"
#include "bluebellkeel/Membership/FreshnessJudge.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <set>
#include <vector>

namespace bluebellkeel {

/// Tells callers which instances to use. There is no balancer, so the answers
/// themselves spread the callers.
class address_advisor {
public:
  /// Addresses in one answer.
  static constexpr std::size_t MaxAddresses = 3;
  /// Short, so that a leaving instance loses its callers within seconds.
  static constexpr seconds Lifetime{3};

  address_advisor(instance_id Self, freshness_judge Judge)
      : Self(std::move(Self)), Judge(Judge) {}

  /// \p SelfServing says whether this instance takes new work. Instances in
  /// \p Out, leaving, draining or silent ones are left out; when none remains,
  /// the listed ones are named, since this instance may be the one cut off.
  address_advice advise(monotonic_time Now, bool SelfServing,
                        const std::vector<instance_record> &Listed,
                        const std::vector<peer_status> &Peers,
                        const std::set<data_centre_id> &Out,
                        random_source &Random) const;

private:
  instance_id Self;
  freshness_judge Judge;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_ADDRESSADVISOR_H
