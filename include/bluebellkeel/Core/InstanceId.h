#ifndef BLUEBELLKEEL_CORE_INSTANCEID_H
#define BLUEBELLKEEL_CORE_INSTANCEID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies an entry instance of the system.
using instance_id = identifier<struct instance_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_INSTANCEID_H
