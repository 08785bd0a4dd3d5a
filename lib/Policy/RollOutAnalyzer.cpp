#include "bluebellkeel/Policy/RollOutAnalyzer.h"

using namespace bluebellkeel;

/// Minimum number and share of bad responses of a bad version.
static constexpr std::uint64_t MinBadResponses = 4;
static constexpr double MinBadShare = 0.12;
/// Minimum ratio of its share of bad responses to that of the others, since
/// some faults affect all versions.
static constexpr double MinBadShareRatio = 3;

/// Minimum number of times to compare, and minimum differences of the mean
/// logarithms: ln 3 for the first byte, which also depends on what is cached,
/// and ln 2.2 for the interval between events, which depends on load alone.
static constexpr std::uint64_t MinTimes = 8;
static constexpr double MinFirstByteDifference = 1.1;
static constexpr double MinEventIntervalDifference = 0.8;

static bool isSlower(const log_time_mean &Target, const log_time_mean &Others,
                     double MinDifference) {
  return Target.count() >= MinTimes && Others.count() >= MinTimes &&
         Target.mean() - Others.mean() >= MinDifference;
}

bool roll_out_analyzer::isBad(const version_stats &Target,
                              const version_stats &Others) {
  if (Target.bad() >= MinBadResponses && Target.badShare() >= MinBadShare &&
      Target.badShare() >= MinBadShareRatio * Others.badShare())
    return true;
  return isSlower(Target.firstByte(), Others.firstByte(),
                  MinFirstByteDifference) ||
         isSlower(Target.eventInterval(), Others.eventInterval(),
                  MinEventIntervalDifference);
}
