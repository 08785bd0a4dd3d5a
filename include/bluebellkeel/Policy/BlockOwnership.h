#ifndef BLUEBELLKEEL_POLICY_BLOCKOWNERSHIP_H
#define BLUEBELLKEEL_POLICY_BLOCKOWNERSHIP_H

#include "bluebellkeel/Core/InstanceId.h"
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// True if \p Self is the one of \p Instances that acts for \p Block, by
/// rendezvous hashing.
bool ownsBlock(std::string_view Block, const instance_id &Self,
               const std::vector<instance_id> &Instances);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_BLOCKOWNERSHIP_H
