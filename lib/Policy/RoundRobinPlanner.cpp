#include "bluebellkeel/Policy/RoundRobinPlanner.h"
#include "OrderedPlan.h"

using namespace bluebellkeel;

tl::expected<version_plan, plan_error>
round_robin_planner::plan(const route_query &Query) {
  auto Plan = orderedPlan(
      Query, [](const version_settings &L, const version_settings &R) {
        return L.id() < R.id();
      });
  if (!Plan)
    return Plan;
  std::vector<plan_step> Steps = Plan->steps();
  std::size_t First = NextIndex++ % Steps.size();
  std::rotate(Steps.begin(), Steps.begin() + static_cast<std::ptrdiff_t>(First),
              Steps.end());
  return version_plan(std::move(Steps));
}
