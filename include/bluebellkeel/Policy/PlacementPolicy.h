#ifndef BLUEBELLKEEL_POLICY_PLACEMENTPOLICY_H
#define BLUEBELLKEEL_POLICY_PLACEMENTPOLICY_H

#include "bluebellkeel/Policy/PlacementCandidate.h"
#include "bluebellkeel/Policy/Prompt.h"
#include <vector>

namespace bluebellkeel {

/// Orders the upstreams that may take a request, best first.
class placement_policy {
public:
  virtual ~placement_policy() = default;

  /// Returns \p Candidates in order of preference.
  ///
  /// \param Candidates in an order specific to the request.
  /// \param RelativeTokenTime time per token of the chosen model, relative to
  /// the smallest one; 1 for a plain service.
  virtual std::vector<placement_candidate>
  order(std::vector<placement_candidate> Candidates, const prompt &Prompt,
        double RelativeTokenTime) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLACEMENTPOLICY_H
