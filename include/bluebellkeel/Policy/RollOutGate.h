#ifndef BLUEBELLKEEL_POLICY_ROLLOUTGATE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTGATE_H

#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Policy/QualityCounts.h"
#include "bluebellkeel/Settings/VersionSettings.h"

namespace bluebellkeel {

/// Limits the share of work for a rolling version, and stops a version that
/// turns bad.
class roll_out_gate {
public:
  /// Largest share of new work while there are fewer than MinRatings ratings.
  static constexpr double TrialShare = 0.02;
  static constexpr std::uint64_t MinRatings = 50;

  /// True if the ratings refute the version's expected quality in favour of one
  /// that is lower by a tenth.
  static bool stopped(const version_settings &Version,
                      const quality_counts &Counts);

  /// Decides at random whether one request may go to the rolling \p Version.
  static bool admits(const version_settings &Version,
                     const quality_counts &Counts, random_source &Random);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTGATE_H
