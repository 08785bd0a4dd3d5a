#ifndef BLUEBELLKEEL_CORE_UPSTREAMID_H
#define BLUEBELLKEEL_CORE_UPSTREAMID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies an upstream: one model engine or one process of a plain service.
using upstream_id = identifier<struct upstream_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_UPSTREAMID_H
