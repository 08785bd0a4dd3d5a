#ifndef BLUEBELLKEEL_POLICY_ROLLOUTANALYZER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTANALYZER_H

#include "bluebellkeel/Policy/VersionStats.h"

namespace bluebellkeel {

/// Tells a bad version from a good one by what all instances have seen.
class roll_out_analyzer {
public:
  /// True when \p Target fails more often, or begins its answers much later,
  /// than the versions beside it.
  static bool isBad(const version_stats &Target, const version_stats &Others);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTANALYZER_H
