#ifndef BLUEBELLKEEL_CORE_SERVICEID_H
#define BLUEBELLKEEL_CORE_SERVICEID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies a plain service, which runs beside the model engines.
using service_id = identifier<struct service_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SERVICEID_H
