#ifndef BLUEBELLKEEL_HTTP_HTTPLIMITSOURCE_H
#define BLUEBELLKEEL_HTTP_HTTPLIMITSOURCE_H

#include "bluebellkeel/Http/HttpLimits.h"

namespace bluebellkeel {

/// Provides the limits that a server enforces.
class http_limit_source {
public:
  virtual ~http_limit_source() = default;

  /// Called for each connection and each request; must not block.
  virtual http_limits limits() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPLIMITSOURCE_H
