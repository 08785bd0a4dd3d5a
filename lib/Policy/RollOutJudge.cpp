#include "bluebellkeel/Policy/RollOutJudge.h"

using namespace bluebellkeel;

/// Fewest bad answers, and smallest share of them, that condemn a version.
static constexpr std::uint64_t EnoughBad = 4;
static constexpr double BadShare = 0.12;
/// How much worse than the others it must be, since faults strike both.
static constexpr double TimesWorse = 3;

/// Fewest times that are compared, and the difference of the mean logarithms
/// that condemns: ln 3.
static constexpr std::uint64_t EnoughTimed = 8;
static constexpr double LogTimesSlower = 1.1;

bool roll_out_judge::isBad(const version_tally &Target,
                           const version_tally &Others) {
  if (Target.bad() >= EnoughBad && Target.badShare() >= BadShare &&
      Target.badShare() >= TimesWorse * Others.badShare())
    return true;
  return Target.timed() >= EnoughTimed && Others.timed() >= EnoughTimed &&
         Target.meanLogTime() - Others.meanLogTime() >= LogTimesSlower;
}
