#ifndef BLUEBELLKEEL_CORE_DATACENTREID_H
#define BLUEBELLKEEL_CORE_DATACENTREID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies a data centre.
using data_centre_id = identifier<struct data_centre_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_DATACENTREID_H
