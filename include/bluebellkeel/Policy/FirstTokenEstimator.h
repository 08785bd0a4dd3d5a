#ifndef BLUEBELLKEEL_POLICY_FIRSTTOKENESTIMATOR_H
#define BLUEBELLKEEL_POLICY_FIRSTTOKENESTIMATOR_H

#include "bluebellkeel/Policy/FirstTokenEstimate.h"
#include "bluebellkeel/Policy/PlacementCandidate.h"
#include "bluebellkeel/Policy/Prompt.h"

namespace bluebellkeel {

/// Estimates when an upstream would send the first token of a response.
class first_token_estimator {
public:
  virtual ~first_token_estimator() = default;

  /// \param RelativeTokenTime time per token of the chosen model, relative to
  /// the smallest one; 1 for a plain service.
  virtual first_token_estimate estimate(const placement_candidate &Candidate,
                                        const prompt &Prompt,
                                        double RelativeTokenTime) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_FIRSTTOKENESTIMATOR_H
