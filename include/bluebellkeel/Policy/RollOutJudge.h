#ifndef BLUEBELLKEEL_POLICY_ROLLOUTJUDGE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTJUDGE_H

#include "bluebellkeel/Policy/VersionTally.h"

namespace bluebellkeel {

/// Tells a bad version from a good one by what all instances have seen.
class roll_out_judge {
public:
  /// True when \p Target fails more often, or begins its answers much later,
  /// than the versions beside it.
  static bool isBad(const version_tally &Target, const version_tally &Others);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTJUDGE_H
