#ifndef BLUEBELLKEEL_HTTP_FIXEDLIMITS_H
#define BLUEBELLKEEL_HTTP_FIXEDLIMITS_H

#include "bluebellkeel/Http/HttpLimitSource.h"

namespace bluebellkeel {

/// A limit source whose limits never change.
class fixed_limits final : public http_limit_source {
public:
  explicit fixed_limits(http_limits Limits) : Limits(Limits) {}

  http_limits limits() const override { return Limits; }

private:
  http_limits Limits;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_FIXEDLIMITS_H
