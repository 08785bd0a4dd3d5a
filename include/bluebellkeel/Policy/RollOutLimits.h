#ifndef BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H
#define BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// The operators' limits on roll-outs.
class roll_out_limits : public comparable<roll_out_limits> {
public:
  roll_out_limits(double TrialShare, milliseconds SessionLifetime)
      : TrialShare(TrialShare), SessionLifetime(SessionLifetime) {}

  /// Largest share of the requests that a bad version may receive.
  double trialShare() const { return TrialShare; }
  /// Requests with the same session key that are further apart than this belong
  /// to different sessions.
  milliseconds sessionLifetime() const { return SessionLifetime; }
  auto key() const { return std::tie(TrialShare, SessionLifetime); }

private:
  double TrialShare;
  milliseconds SessionLifetime;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H
