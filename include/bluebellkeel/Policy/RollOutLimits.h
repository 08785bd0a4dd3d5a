#ifndef BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H
#define BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include <tuple>

namespace bluebellkeel {

/// The operators' limits on roll-outs.
class roll_out_limits : public comparable<roll_out_limits> {
public:
  explicit roll_out_limits(double TrialShare) : TrialShare(TrialShare) {}

  /// Largest share of the requests that a bad version may receive.
  double trialShare() const { return TrialShare; }
  auto key() const { return std::tie(TrialShare); }

private:
  double TrialShare;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H
