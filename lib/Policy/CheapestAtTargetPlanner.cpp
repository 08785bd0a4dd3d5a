#include "bluebellkeel/Policy/CheapestAtTargetPlanner.h"
#include "bluebellkeel/Policy/LikelihoodRatio.h"
#include "bluebellkeel/Policy/QualityEstimate.h"
#include "bluebellkeel/Policy/RollOutGate.h"
#include "bluebellkeel/Policy/VersionEligibility.h"
#include <algorithm>

using namespace bluebellkeel;

plan_step cheapest_at_target_planner::stepFor(const version_settings &Version,
                                              double Target) {
  quality_counts Counts = Tracker.recent(Version.id());
  quality_estimate Estimate(Version.quality(), Counts);
  return plan_step(Version.id(), Version.cost(), Estimate.lowerBound(),
                   meetsTarget(Version.quality(), Target, Counts));
}

/// Orders versions that meet the target by cost, then the others by quality,
/// best first.
static bool isPreferred(const plan_step &L, const plan_step &R) {
  if (L.meetsTarget() != R.meetsTarget())
    return L.meetsTarget();
  if (L.meetsTarget())
    return L.cost() < R.cost();
  return L.quality() > R.quality();
}

tl::expected<version_plan, plan_error>
cheapest_at_target_planner::plan(const route_query &Query) {
  auto Eligible = eligibleVersions(Query);
  if (!Eligible)
    return tl::unexpected(Eligible.error());
  double Target = Query.account().qualityTarget();
  std::vector<plan_step> Steps;
  std::vector<plan_step> Trials;
  bool Pinned = Query.continuedSession() || Eligible->size() == 1;
  for (const auto &Version : *Eligible) {
    plan_step Step = stepFor(Version, Target);
    if (Pinned || Version.stage() == version_stage::Active) {
      Steps.push_back(Step);
      continue;
    }
    if (roll_out_gate::admits(Version, Tracker.recent(Version.id()), Random))
      Trials.push_back(Step);
  }
  if (Steps.empty() && Trials.empty())
    return tl::unexpected(plan_error::NoAllowedVersion);
  std::stable_sort(Steps.begin(), Steps.end(), isPreferred);
  if (!Trials.empty())
    Steps.insert(Steps.begin(), Trials.front());
  return version_plan(std::move(Steps));
}
