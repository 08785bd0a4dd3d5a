#ifndef BLUEBELLKEEL_POLICY_CHEAPESTPLACEMENT_H
#define BLUEBELLKEEL_POLICY_CHEAPESTPLACEMENT_H

#include "bluebellkeel/Policy/PlacementPolicy.h"

namespace bluebellkeel {

/// Chooses by the work that stands before the first event: prompt tokens that
/// others have yet to be read, those of this prompt that are not cached, and a
/// share of the running requests. Requests with the same shared part prefer
/// the same upstream on all instances.
class cheapest_placement final : public placement_policy {
public:
  std::vector<placement_candidate>
  order(std::vector<placement_candidate> Candidates, const prompt &Prompt,
        double RelativeTokenTime) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CHEAPESTPLACEMENT_H
