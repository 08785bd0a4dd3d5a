#ifndef BLUEBELLKEEL_POLICY_CHEAPESTATTARGETPLANNER_H
#define BLUEBELLKEEL_POLICY_CHEAPESTATTARGETPLANNER_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Policy/QualityTracker.h"
#include "bluebellkeel/Policy/VersionPlanner.h"

namespace bluebellkeel {

/// Orders the versions that meet the quality target by cost, cheapest first,
/// then the other versions by quality. When no version meets the target, the
/// best one comes first and is marked as missing it. A rolling version precedes
/// all of them for its limited share of the requests.
class cheapest_at_target_planner final : public version_planner {
public:
  cheapest_at_target_planner(quality_tracker &Tracker, random_source &Random)
      : Tracker(Tracker), Random(Random) {}

  tl::expected<version_plan, plan_error>
  plan(const route_query &Query) override;

private:
  plan_step stepFor(const version_settings &Version, double Target);

  quality_tracker &Tracker;
  random_source &Random;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CHEAPESTATTARGETPLANNER_H
