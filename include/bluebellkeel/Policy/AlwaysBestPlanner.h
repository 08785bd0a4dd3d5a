#ifndef BLUEBELLKEEL_POLICY_ALWAYSBESTPLANNER_H
#define BLUEBELLKEEL_POLICY_ALWAYSBESTPLANNER_H

#include "bluebellkeel/Policy/VersionPlanner.h"

namespace bluebellkeel {

/// Baseline planner: orders versions by expected quality, best first,
/// regardless of cost.
class always_best_planner final : public version_planner {
public:
  tl::expected<version_plan, plan_error>
  plan(const route_query &Query) override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ALWAYSBESTPLANNER_H
