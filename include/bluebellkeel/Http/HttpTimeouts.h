#ifndef BLUEBELLKEEL_HTTP_HTTPTIMEOUTS_H
#define BLUEBELLKEEL_HTTP_HTTPTIMEOUTS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// Maximum time for each stage of an exchange.
class http_timeouts : public comparable<http_timeouts> {
public:
  http_timeouts(milliseconds Connect, milliseconds FirstByte, milliseconds Idle)
      : Connect(Connect), FirstByte(FirstByte), Idle(Idle) {}

  milliseconds connect() const { return Connect; }
  /// From the established connection to the head of the response.
  milliseconds firstByte() const { return FirstByte; }
  /// From one piece of the response to the next.
  milliseconds idle() const { return Idle; }
  auto key() const { return std::tie(Connect, FirstByte, Idle); }

private:
  milliseconds Connect;
  milliseconds FirstByte;
  milliseconds Idle;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPTIMEOUTS_H
