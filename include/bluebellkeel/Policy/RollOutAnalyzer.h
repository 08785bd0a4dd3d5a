#ifndef BLUEBELLKEEL_POLICY_ROLLOUTANALYZER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTANALYZER_H

#include "bluebellkeel/Policy/VersionStats.h"

namespace bluebellkeel {

/// Detects a bad version from the statistics of all instances.
class roll_out_analyzer {
public:
  /// True if \p Target fails more often, or is much slower to start or to
  /// continue its responses, than the other versions.
  static bool isBad(const version_stats &Target, const version_stats &Others);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTANALYZER_H
