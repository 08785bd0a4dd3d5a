#ifndef BLUEBELLKEEL_POLICY_VERSIONPLAN_H
#define BLUEBELLKEEL_POLICY_VERSIONPLAN_H

#include "bluebellkeel/Policy/PlanStep.h"
#include <vector>

namespace bluebellkeel {

/// The versions to try for one request, in order of preference; never empty.
class version_plan : public comparable<version_plan> {
public:
  explicit version_plan(std::vector<plan_step> Steps)
      : Steps(std::move(Steps)) {}

  const std::vector<plan_step> &steps() const { return Steps; }
  const std::vector<plan_step> &key() const { return Steps; }

private:
  std::vector<plan_step> Steps;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONPLAN_H
