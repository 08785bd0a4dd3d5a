#ifndef BLUEBELLKEEL_POLICY_PLANERROR_H
#define BLUEBELLKEEL_POLICY_PLANERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why there is no version for a request.
enum class plan_error {
  /// The client account may use none of the versions that take new work.
  NoAllowedVersion,
  /// The version asked for is not one the client account may use.
  VersionNotAllowed,
  /// The version asked for takes no new work.
  VersionNotServing,
  /// The session's version was withdrawn; sessions are never moved.
  SessionVersionWithdrawn,
};

std::string_view toString(plan_error Error);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PLANERROR_H
