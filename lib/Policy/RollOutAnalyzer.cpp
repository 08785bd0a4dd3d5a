#include "bluebellkeel/Policy/RollOutAnalyzer.h"

using namespace bluebellkeel;

/// Minimum number and share of bad responses of a bad version.
static constexpr std::uint64_t MinBadResponses = 4;
static constexpr double MinBadShare = 0.12;
/// Minimum ratio of its share of bad responses to that of the others, since
/// some faults affect all versions.
static constexpr double MinBadShareRatio = 3;

/// Minimum number of first-byte times to compare, and minimum differences of
/// the mean logarithms: ln 3 for the first byte, which also depends on load and
/// on what is cached, and ln 2.2 for the interval between events at similar
/// load.
static constexpr std::uint64_t MinTimes = 8;
static constexpr double MinFirstByteDifference = 1.1;
static constexpr double MinEventIntervalDifference = 0.8;

static bool startsSlower(const log_time_mean &Target,
                         const log_time_mean &Others) {
  return Target.count() >= MinTimes && Others.count() >= MinTimes &&
         Target.mean() - Others.mean() >= MinFirstByteDifference;
}

bool roll_out_analyzer::isBad(const version_stats &Target,
                              const version_stats &Others) {
  if (Target.bad() >= MinBadResponses && Target.badShare() >= MinBadShare &&
      Target.badShare() >= MinBadShareRatio * Others.badShare())
    return true;
  auto Difference =
      Target.eventIntervals().differenceTo(Others.eventIntervals());
  return startsSlower(Target.firstByte(), Others.firstByte()) ||
         (Difference && *Difference >= MinEventIntervalDifference);
}
