#ifndef BLUEBELLKEEL_MEMBERSHIP_OWNERSHIP_H
#define BLUEBELLKEEL_MEMBERSHIP_OWNERSHIP_H

#include "bluebellkeel/Core/InstanceId.h"
#include <optional>
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Returns the instance of \p Candidates that owns \p Key by rendezvous
/// hashing; empty when there are no candidates. All instances that know the
/// same candidates get the same owner, and few keys move when a candidate is
/// added or removed.
std::optional<instance_id> ownerOf(std::string_view Key,
                                   const std::vector<instance_id> &Candidates);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_OWNERSHIP_H
