#ifndef BLUEBELLKEEL_POLICY_EXPECTEDWAITPLACEMENT_H
#define BLUEBELLKEEL_POLICY_EXPECTEDWAITPLACEMENT_H

#include "bluebellkeel/Policy/FirstTokenEstimator.h"
#include "bluebellkeel/Policy/PlacementPolicy.h"

namespace bluebellkeel {

/// Orders upstreams by the expected time to the first token and by the delay
/// that the prompt causes for the requests that run there. Heavy and light
/// reads each prefer their part of the upstreams and go to the other part when
/// it is better by a margin.
///
/// Candidates that differ by less than the error of the estimate keep their
/// order, which is specific to the request, so that instances with the same
/// old reports spread their requests. Where no candidate reports its speed, the
/// order is that of another policy.
class expected_wait_placement final : public placement_policy {
public:
  /// \p Unreported decides where no candidate reports its speed.
  expected_wait_placement(const first_token_estimator &Estimator,
                          const placement_policy &Unreported)
      : Estimator(Estimator), Unreported(Unreported) {}

  std::vector<placement_candidate>
  order(std::vector<placement_candidate> Candidates, const prompt &Prompt,
        double RelativeTokenTime) const override;

private:
  double costOf(const placement_candidate &Candidate, const prompt &Prompt,
                double RelativeTokenTime, bool Partitioned) const;

  const first_token_estimator &Estimator;
  const placement_policy &Unreported;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_EXPECTEDWAITPLACEMENT_H
