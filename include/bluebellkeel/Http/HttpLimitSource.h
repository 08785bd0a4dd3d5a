#ifndef BLUEBELLKEEL_HTTP_HTTPLIMITSOURCE_H
#define BLUEBELLKEEL_HTTP_HTTPLIMITSOURCE_H

#include "bluebellkeel/Http/HttpLimits.h"

namespace bluebellkeel {

/// Tells a server which bounds are in force.
class http_limit_source {
public:
  virtual ~http_limit_source() = default;

  /// Asked before each request; answers at once.
  virtual http_limits limits() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPLIMITSOURCE_H
