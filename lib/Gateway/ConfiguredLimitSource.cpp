#include "bluebellkeel/Gateway/ConfiguredLimitSource.h"

using namespace bluebellkeel;

http_limits configured_limit_source::limits() const {
  auto Table = Tables.current();
  if (!Table)
    return Fixed;
  const caller_limits &Configured = Table->limits();
  return Fixed
      .withHeader(Configured.headerBytes().value_or(Fixed.headerBytes()),
                  Configured.headerTime().value_or(Fixed.headerTime()))
      .withBody(Configured.bodyBytes().value_or(Fixed.bodyBytes()))
      .withIdle(Configured.idleTime().value_or(Fixed.idleTime()));
}
