#ifndef BLUEBELLKEEL_GATEWAY_TABLELIMITS_H
#define BLUEBELLKEEL_GATEWAY_TABLELIMITS_H

#include "bluebellkeel/Http/HttpLimitSource.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"

namespace bluebellkeel {

/// The bounds towards callers that the newest configuration sets; the rest is
/// fixed.
class table_limits final : public http_limit_source {
public:
  table_limits(const route_table_holder &Tables, http_limits Fixed)
      : Tables(Tables), Fixed(Fixed) {}

  http_limits limits() const override;

private:
  const route_table_holder &Tables;
  http_limits Fixed;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_TABLELIMITS_H
