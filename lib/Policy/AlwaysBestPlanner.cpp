#include "bluebellkeel/Policy/AlwaysBestPlanner.h"
#include "OrderedPlan.h"

using namespace bluebellkeel;

tl::expected<version_plan, plan_error>
always_best_planner::plan(const route_query &Query) {
  return orderedPlan(Query,
                     [](const version_settings &L, const version_settings &R) {
                       return L.quality() > R.quality();
                     });
}
