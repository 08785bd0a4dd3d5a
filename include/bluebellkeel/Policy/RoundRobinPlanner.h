#ifndef BLUEBELLKEEL_POLICY_ROUNDROBINPLANNER_H
#define BLUEBELLKEEL_POLICY_ROUNDROBINPLANNER_H

#include "bluebellkeel/Policy/VersionPlanner.h"
#include <atomic>

namespace bluebellkeel {

/// Baseline planner: takes the eligible versions in turn.
class round_robin_planner final : public version_planner {
public:
  tl::expected<version_plan, plan_error>
  plan(const route_query &Query) override;

private:
  std::atomic<std::size_t> NextIndex{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROUNDROBINPLANNER_H
