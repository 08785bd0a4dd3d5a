#ifndef BLUEBELLKEEL_MEMBERSHIP_OWNERSHIP_H
#define BLUEBELLKEEL_MEMBERSHIP_OWNERSHIP_H

#include "bluebellkeel/Core/InstanceId.h"
#include <optional>
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// The instance out of \p Candidates that owns \p Key by rendezvous hashing:
/// the same for all who know the same candidates, and moved for few keys when
/// a candidate comes or goes.
std::optional<instance_id> ownerOf(std::string_view Key,
                                   const std::vector<instance_id> &Candidates);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_OWNERSHIP_H
