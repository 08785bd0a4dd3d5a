#ifndef BLUEBELLKEEL_SCALE_ALWAYSMINIMUMCOUNT_H
#define BLUEBELLKEEL_SCALE_ALWAYSMINIMUMCOUNT_H

#include "bluebellkeel/Scale/UpstreamCountPolicy.h"

namespace bluebellkeel {

/// Always orders the fewest upstreams that the operators allow.
class always_minimum_count final : public upstream_count_policy {
public:
  std::vector<scale_order> decide(const scale_query &Query) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_ALWAYSMINIMUMCOUNT_H
