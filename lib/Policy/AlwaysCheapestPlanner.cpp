#include "bluebellkeel/Policy/AlwaysCheapestPlanner.h"
#include "OrderedPlan.h"

using namespace bluebellkeel;

tl::expected<version_plan, plan_error>
always_cheapest_planner::plan(const route_query &Query) {
  return orderedPlan(Query,
                     [](const version_settings &L, const version_settings &R) {
                       return L.cost() < R.cost();
                     });
}
