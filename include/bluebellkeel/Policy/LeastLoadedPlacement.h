#ifndef BLUEBELLKEEL_POLICY_LEASTLOADEDPLACEMENT_H
#define BLUEBELLKEEL_POLICY_LEASTLOADEDPLACEMENT_H

#include "bluebellkeel/Policy/PlacementPolicy.h"

namespace bluebellkeel {

/// Baseline policy: orders upstreams by running and waiting requests per slot,
/// fewest first.
class least_loaded_placement final : public placement_policy {
public:
  std::vector<placement_candidate>
  order(std::vector<placement_candidate> Candidates, const prompt &Prompt,
        double RelativeTokenTime) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_LEASTLOADEDPLACEMENT_H
