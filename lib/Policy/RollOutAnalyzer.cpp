#include "bluebellkeel/Policy/RollOutAnalyzer.h"

using namespace bluebellkeel;

/// Minimum number and share of bad responses of a bad version.
static constexpr std::uint64_t MinBadResponses = 4;
static constexpr double MinBadShare = 0.12;
/// Minimum ratio of its share of bad responses to that of the others, since
/// some faults affect all versions.
static constexpr double MinBadShareRatio = 3;

/// Minimum number of timed responses to compare, and minimum difference of the
/// mean logarithms: ln 3.
static constexpr std::uint64_t MinTimedResponses = 8;
static constexpr double MinLogTimeDifference = 1.1;

bool roll_out_analyzer::isBad(const version_stats &Target,
                              const version_stats &Others) {
  if (Target.bad() >= MinBadResponses && Target.badShare() >= MinBadShare &&
      Target.badShare() >= MinBadShareRatio * Others.badShare())
    return true;
  return Target.timed() >= MinTimedResponses &&
         Others.timed() >= MinTimedResponses &&
         Target.meanLogTime() - Others.meanLogTime() >= MinLogTimeDifference;
}
