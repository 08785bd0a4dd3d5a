#ifndef BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H
#define BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// What operators allow a roll-out.
class roll_out_limits : public comparable<roll_out_limits> {
public:
  roll_out_limits(double TrialShare, milliseconds SessionLife)
      : TrialShare(TrialShare), SessionLife(SessionLife) {}

  /// Largest share of the requests that a bad version may get.
  double trialShare() const { return TrialShare; }
  /// Requests of a session that are further apart do not belong together.
  milliseconds sessionLife() const { return SessionLife; }
  auto key() const { return std::tie(TrialShare, SessionLife); }

private:
  double TrialShare;
  milliseconds SessionLife;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTLIMITS_H
