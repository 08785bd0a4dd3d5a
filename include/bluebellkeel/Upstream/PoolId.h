#ifndef BLUEBELLKEEL_UPSTREAM_POOLID_H
#define BLUEBELLKEEL_UPSTREAM_POOLID_H

#include "bluebellkeel/Core/Identifier.h"

namespace bluebellkeel {

/// Identifies a set of upstreams that do the same work: all engines of one
/// version, or all processes of one plain service.
using pool_id = identifier<struct pool_tag>;

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_POOLID_H
