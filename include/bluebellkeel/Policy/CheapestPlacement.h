#ifndef BLUEBELLKEEL_POLICY_CHEAPESTPLACEMENT_H
#define BLUEBELLKEEL_POLICY_CHEAPESTPLACEMENT_H

#include "bluebellkeel/Policy/PlacementPolicy.h"

namespace bluebellkeel {

/// Orders upstreams by the estimated work before the first event of the
/// response: prompt tokens still to be read for other requests, uncached tokens
/// of this prompt, and a share of the running requests. Requests with the same
/// shared prompt part prefer the same upstream on every instance.
class cheapest_placement final : public placement_policy {
public:
  std::vector<placement_candidate>
  order(std::vector<placement_candidate> Candidates, const prompt &Prompt,
        double RelativeTokenTime) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CHEAPESTPLACEMENT_H
