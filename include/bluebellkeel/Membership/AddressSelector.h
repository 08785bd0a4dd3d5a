#ifndef BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTOR_H
#define BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTOR_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Membership/AddressSelection.h"
#include "bluebellkeel/Membership/FreshnessEvaluator.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <set>
#include <vector>

namespace bluebellkeel {

/// Selects the instances that callers should use. There is no load balancer, so
/// random choice in each response spreads the callers.
class address_selector {
public:
  /// Most addresses in one response.
  static constexpr std::size_t MaxAddresses = 3;
  /// Time for which callers may keep the addresses. Short, so that callers
  /// leave a departing instance within seconds.
  static constexpr seconds Lifetime{3};

  address_selector(instance_id Self, freshness_evaluator Evaluator)
      : Self(std::move(Self)), Evaluator(Evaluator) {}

  /// Returns a random choice of addresses. \p SelfServing is true if this
  /// instance takes new work. Leaves out instances that are in
  /// \p ExcludedCentres, leaving, draining or silent. When none remains,
  /// chooses among all live entries of \p Listed outside \p ExcludedCentres,
  /// since this instance may be the one that is cut off.
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
