#ifndef BLUEBELLKEEL_POLICY_PLANSTEP_H
#define BLUEBELLKEEL_POLICY_PLANSTEP_H

#include "bluebellkeel/Core/VersionId.h"
#include <tuple>

namespace bluebellkeel {

/// A version to try, with the cost and quality that determine its position in
/// the plan.
class plan_step : public comparable<plan_step> {
public:
  plan_step(version_id Version, double Cost, double Quality, bool MeetsTarget)
      : Version(std::move(Version)), Cost(Cost), Quality(Quality),
        MeetsTarget(MeetsTarget) {}

  const version_id &version() const { return Version; }
  /// Price per 1,000 tokens, in millionths of the currency unit.
  double cost() const { return Cost; }
  /// Lower bound of the share of good responses.
  double quality() const { return Quality; }
  bool meetsTarget() const { return MeetsTarget; }
  auto key() const { return std::tie(Version, Cost, Quality, MeetsTarget); }

private:
  version_id Version;
  double Cost;
  double Quality;
  bool MeetsTarget;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLANSTEP_H
