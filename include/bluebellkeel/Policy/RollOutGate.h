#ifndef BLUEBELLKEEL_POLICY_ROLLOUTGATE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTGATE_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Policy/QualityCounts.h"
#include "bluebellkeel/Settings/VersionSettings.h"

namespace bluebellkeel {

/// Bounds how much work a version gets while it is tried, and stops one that
/// turns bad.
class roll_out_gate {
public:
  /// Share of new work while fewer than MinRatings were made.
  static constexpr double TrialShare = 0.02;
  static constexpr std::uint64_t MinRatings = 50;

  /// True once the ratings refute that the version is as good as expected, and
  /// speak for one that is worse by a tenth.
  static bool stopped(const version_settings &Version,
                      const quality_counts &Counts);

  /// Draws whether one request may go to the rolling \p Version.
  static bool admits(const version_settings &Version,
                     const quality_counts &Counts, random_source &Random);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTGATE_H
