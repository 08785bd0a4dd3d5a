#ifndef BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTOR_H
#define BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTOR_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Membership/AddressSelection.h"
#include "bluebellkeel/Membership/FreshnessEvaluator.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <set>
#include <vector>

namespace bluebellkeel {

/// Tells callers which instances to use. There is no balancer, so the answers
/// themselves spread the callers.
class address_selector {
public:
  /// Addresses in one answer.
  static constexpr std::size_t MaxAddresses = 3;
  /// Short, so that a leaving instance loses its callers within seconds.
  static constexpr seconds Lifetime{3};

  address_selector(instance_id Self, freshness_evaluator Evaluator)
      : Self(std::move(Self)), Evaluator(Evaluator) {}

  /// \p SelfServing says whether this instance takes new work. Instances in
  /// \p ExcludedCentres, leaving, draining or silent ones are left out; when
  /// none remains, the listed ones are named, since this instance may be the
  /// one cut off.
  address_selection
  selectAddresses(monotonic_time Now, bool SelfServing,
                  const std::vector<instance_record> &Listed,
                  const std::vector<peer_status> &Peers,
                  const std::set<data_centre_id> &ExcludedCentres,
                  random_source &Random) const;

private:
  instance_id Self;
  freshness_evaluator Evaluator;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTOR_H
