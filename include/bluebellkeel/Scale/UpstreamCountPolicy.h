#ifndef BLUEBELLKEEL_SCALE_UPSTREAMCOUNTPOLICY_H
#define BLUEBELLKEEL_SCALE_UPSTREAMCOUNTPOLICY_H

#include "bluebellkeel/Scale/ScaleOrder.h"
#include "bluebellkeel/Scale/ScaleQuery.h"
#include <vector>

namespace bluebellkeel {

/// Decides how many upstreams a service should have.
class upstream_count_policy {
public:
  virtual ~upstream_count_policy() = default;

  /// Returns the number for each data centre that should have another number
  /// than it has, or keep the one that was ordered. Without an order a data
  /// centre keeps what it has.
  virtual std::vector<scale_order> decide(const scale_query &Query) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_UPSTREAMCOUNTPOLICY_H
