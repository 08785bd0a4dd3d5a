#ifndef BLUEBELLKEEL_POLICY_PLANERROR_H
#define BLUEBELLKEEL_POLICY_PLANERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why no version was found for a request.
enum class plan_error {
  /// The client account may not use any of the versions that take new work.
  NoAllowedVersion,
  /// The client account may not use the requested version.
  VersionNotAllowed,
  /// The requested version takes no new work.
  VersionNotServing,
  /// The session's version was withdrawn; sessions never move to another
  /// version.
  SessionVersionWithdrawn,
};

std::string_view toString(plan_error Error);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLANERROR_H
