#ifndef BLUEBELLKEEL_SCALE_WORKFOLLOWINGCOUNT_H
#define BLUEBELLKEEL_SCALE_WORKFOLLOWINGCOUNT_H

#include "bluebellkeel/Scale/UpstreamCountPolicy.h"

namespace bluebellkeel {

/// Orders what the peak of the last seconds needs: more at once, fewer only
/// after a time longer than a wave.
class work_following_count final : public upstream_count_policy {
public:
  /// Share of the slots that requests should take, so that a burst during the
  /// boot time of further upstreams still finds free slots.
  static constexpr double TargetOccupancy = 0.35;
  /// Weighted prompt tokens that should at most wait at an upstream.
  static constexpr double TargetPrefill = 4000;
  /// Fewer are ordered only if this much work would need fewer, too.
  static constexpr double DownMargin = 1.2;

  std::vector<scale_order> decide(const scale_query &Query) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_WORKFOLLOWINGCOUNT_H
