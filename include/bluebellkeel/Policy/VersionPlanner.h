#ifndef BLUEBELLKEEL_POLICY_VERSIONPLANNER_H
#define BLUEBELLKEEL_POLICY_VERSIONPLANNER_H

#include "bluebellkeel/Policy/PlanError.h"
#include "bluebellkeel/Policy/RouteQuery.h"
#include "bluebellkeel/Policy/VersionPlan.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Chooses which versions to try for a request.
class version_planner {
public:
  virtual ~version_planner() = default;

  virtual tl::expected<version_plan, plan_error>
  plan(const route_query &Query) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONPLANNER_H
