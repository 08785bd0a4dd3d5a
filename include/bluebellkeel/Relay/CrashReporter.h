#ifndef BLUEBELLKEEL_RELAY_CRASHREPORTER_H
#define BLUEBELLKEEL_RELAY_CRASHREPORTER_H

#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Fingerprint.h"

namespace bluebellkeel {

/// Reports to the other instances which requests were running when an upstream
/// crashed.
class crash_reporter {
public:
  virtual ~crash_reporter() = default;

  virtual void reportCrash(const fingerprint &Request,
                           const upstream_id &Upstream) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CRASHREPORTER_H
