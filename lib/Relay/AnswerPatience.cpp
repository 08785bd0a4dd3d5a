#include "bluebellkeel/Relay/AnswerPatience.h"
#include <algorithm>

using namespace bluebellkeel;

/// Longest silence as multiples of what is still in time, and their least
/// values: a pause of a busy upstream is no reason to give its work up.
static constexpr int FirstByteTimes = 2;
static constexpr int PauseTimes = 2;
static constexpr milliseconds LeastFirstByte{400};
static constexpr milliseconds LeastPause{2500};

answer_patience::answer_patience(const forward_route &Route,
                                 milliseconds TimeLeft, bool MoreRuns)
    : FirstByte(TimeLeft), Pause(TimeLeft) {
  if (!MoreRuns || Route.objective().count() <= 0)
    return;
  FirstByte = std::min(
      TimeLeft, std::max(LeastFirstByte, FirstByteTimes * Route.objective()));
  Pause = std::min(TimeLeft,
                   std::max(LeastPause, PauseTimes * Route.gapObjective()));
}
