#include "bluebellkeel/Gateway/ConfiguredLimitSource.h"

using namespace bluebellkeel;

http_limits configured_limit_source::limits() const {
  auto Table = Tables.current();
  if (!Table)
    return Fixed;
  const caller_limits &Given = Table->limits();
  return Fixed
      .withHeader(Given.headerBytes().value_or(Fixed.headerBytes()),
                  Given.headerTime().value_or(Fixed.headerTime()))
      .withBody(Given.bodyBytes().value_or(Fixed.bodyBytes()))
      .withIdle(Given.idleTime().value_or(Fixed.idleTime()));
}
