#ifndef BLUEBELLKEEL_SCALE_ALWAYSMAXIMUMCOUNT_H
#define BLUEBELLKEEL_SCALE_ALWAYSMAXIMUMCOUNT_H

#include "bluebellkeel/Scale/UpstreamCountPolicy.h"

namespace bluebellkeel {

/// Always orders the most upstreams that the operators allow.
class always_maximum_count final : public upstream_count_policy {
public:
  std::vector<scale_order> decide(const scale_query &Query) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_ALWAYSMAXIMUMCOUNT_H
