#ifndef BLUEBELLKEEL_LIB_POLICY_ORDEREDPLAN_H
#define BLUEBELLKEEL_LIB_POLICY_ORDEREDPLAN_H

#include "bluebellkeel/Policy/VersionEligibility.h"
#include "bluebellkeel/Policy/VersionPlan.h"
#include <algorithm>

namespace bluebellkeel {

/// Returns a plan of the eligible versions in the order of \p Before, with the
/// operators' expected quality.
template <typename before_t>
tl::expected<version_plan, plan_error> orderedPlan(const route_query &Query,
                                                   before_t Before) {
  auto Eligible = eligibleVersions(Query);
  if (!Eligible)
    return tl::unexpected(Eligible.error());
  std::stable_sort(Eligible->begin(), Eligible->end(), Before);
  double Target = Query.account().qualityTarget();
  std::vector<plan_step> Steps;
  for (const auto &Version : *Eligible)
    Steps.emplace_back(Version.id(), Version.cost(), Version.quality(),
                       Version.quality() >= Target);
  return version_plan(std::move(Steps));
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_POLICY_ORDEREDPLAN_H
