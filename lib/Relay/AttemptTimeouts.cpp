#include "bluebellkeel/Relay/AttemptTimeouts.h"
#include <algorithm>

using namespace bluebellkeel;

/// Limits on an upstream's silence as multiples of the route's objectives, with
/// lower bounds: a pause of a busy upstream is no reason to abandon its work.
static constexpr int FirstByteObjectiveFactor = 2;
static constexpr int GapObjectiveFactor = 2;
static constexpr milliseconds MinFirstByteLimit{400};
static constexpr milliseconds MinIdleLimit{2500};

attempt_timeouts::attempt_timeouts(const forward_route &Route,
                                   milliseconds TimeLeft, bool MoreRuns)
    : FirstByte(TimeLeft), Idle(TimeLeft) {
  if (!MoreRuns || Route.objective().count() <= 0)
    return;
  FirstByte =
      std::min(TimeLeft, std::max(MinFirstByteLimit, FirstByteObjectiveFactor *
                                                         Route.objective()));
  Idle = std::min(TimeLeft, std::max(MinIdleLimit, GapObjectiveFactor *
                                                       Route.gapObjective()));
}
