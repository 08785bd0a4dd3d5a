#ifndef BLUEBELLKEEL_LIB_RELAY_POOLNAMES_H
#define BLUEBELLKEEL_LIB_RELAY_POOLNAMES_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Upstream/PoolId.h"

namespace bluebellkeel {

/// Returns the pool of all engines of \p Version, under its name in the
/// platform's list.
inline pool_id enginePool(const version_id &Version) {
  return pool_id(Version.text());
}

/// Returns the pool of all processes of \p Service.
inline pool_id servicePool(const service_id &Service) {
  return pool_id(Service.text());
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RELAY_POOLNAMES_H
