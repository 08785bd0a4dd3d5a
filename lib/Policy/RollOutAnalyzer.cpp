#include "bluebellkeel/Policy/RollOutAnalyzer.h"

using namespace bluebellkeel;

/// Fewest bad answers, and smallest share of them, that condemn a version.
static constexpr std::uint64_t MinBadAnswers = 4;
static constexpr double MinBadShare = 0.12;
/// How much worse than the others it must be, since faults strike both.
static constexpr double MinBadShareRatio = 3;

/// Fewest times that are compared, and the difference of the mean logarithms
/// that condemns: ln 3.
static constexpr std::uint64_t MinTimedAnswers = 8;
static constexpr double MinLogTimeDifference = 1.1;

bool roll_out_analyzer::isBad(const version_stats &Target,
                              const version_stats &Others) {
  if (Target.bad() >= MinBadAnswers && Target.badShare() >= MinBadShare &&
      Target.badShare() >= MinBadShareRatio * Others.badShare())
    return true;
  return Target.timed() >= MinTimedAnswers &&
         Others.timed() >= MinTimedAnswers &&
         Target.meanLogTime() - Others.meanLogTime() >= MinLogTimeDifference;
}
