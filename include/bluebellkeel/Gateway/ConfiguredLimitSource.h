#ifndef BLUEBELLKEEL_GATEWAY_CONFIGUREDLIMITSOURCE_H
#define BLUEBELLKEEL_GATEWAY_CONFIGUREDLIMITSOURCE_H

#include "bluebellkeel/Http/HttpLimitSource.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"

namespace bluebellkeel {

/// Supplies the limits for callers' connections: the values of the current
/// configuration, and fixed values for limits that it does not set.
class configured_limit_source final : public http_limit_source {
public:
  configured_limit_source(const route_table_holder &Tables, http_limits Fixed)
      : Tables(Tables), Fixed(Fixed) {}

  http_limits limits() const override;

private:
  const route_table_holder &Tables;
  http_limits Fixed;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_CONFIGUREDLIMITSOURCE_H
