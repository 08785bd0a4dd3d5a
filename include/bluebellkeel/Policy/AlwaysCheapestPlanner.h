#ifndef BLUEBELLKEEL_POLICY_ALWAYSCHEAPESTPLANNER_H
#define BLUEBELLKEEL_POLICY_ALWAYSCHEAPESTPLANNER_H

#include "bluebellkeel/Policy/VersionPlanner.h"

namespace bluebellkeel {

/// Baseline planner: orders versions by cost, cheapest first, regardless of
/// quality.
class always_cheapest_planner final : public version_planner {
public:
  tl::expected<version_plan, plan_error>
  plan(const route_query &Query) override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ALWAYSCHEAPESTPLANNER_H
