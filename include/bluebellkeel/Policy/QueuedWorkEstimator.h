#ifndef BLUEBELLKEEL_POLICY_QUEUEDWORKESTIMATOR_H
#define BLUEBELLKEEL_POLICY_QUEUEDWORKESTIMATOR_H

#include "bluebellkeel/Policy/FirstTokenEstimator.h"
#include "bluebellkeel/Policy/ReadingSpeedTracker.h"

namespace bluebellkeel {

/// Estimates from the work that is known to be queued at the upstream, the
/// prompt's uncached tokens, the service's measured reading speed and how long
/// work takes at the upstream now. Not considered are the requests that other
/// instances have sent since their last report.
class queued_work_estimator final : public first_token_estimator {
public:
  explicit queued_work_estimator(reading_speed_tracker &Speeds)
      : Speeds(Speeds) {}

  first_token_estimate estimate(const placement_candidate &Candidate,
                                const prompt &Prompt,
                                double RelativeTokenTime) const override;

private:
  reading_speed_tracker &Speeds;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUEUEDWORKESTIMATOR_H
