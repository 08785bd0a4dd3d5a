#ifndef BLUEBELLKEEL_POLICY_CHEAPESTATTARGETPLANNER_H
#define BLUEBELLKEEL_POLICY_CHEAPESTATTARGETPLANNER_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Policy/QualityTracker.h"
#include "bluebellkeel/Policy/VersionPlanner.h"

namespace bluebellkeel {

/// The cheapest version whose quality is known to meet the target first, then
/// the dearer ones that meet it. When none does, the best one, marked as not
/// meeting the target. A rolling version comes first for its bounded share.
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
