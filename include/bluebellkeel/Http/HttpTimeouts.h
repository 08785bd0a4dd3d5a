#ifndef BLUEBELLKEEL_HTTP_HTTPTIMEOUTS_H
#define BLUEBELLKEEL_HTTP_HTTPTIMEOUTS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// How long each stage of an exchange may take.
class http_timeouts : public comparable<http_timeouts> {
public:
  http_timeouts(milliseconds Connect, milliseconds FirstByte, milliseconds Idle)
      : Connect(Connect), FirstByte(FirstByte), Idle(Idle) {}

  milliseconds connect() const { return Connect; }
  /// From the end of the request to the first byte of the answer.
  milliseconds firstByte() const { return FirstByte; }
  /// From one piece of the answer to the next.
  milliseconds idle() const { return Idle; }
  auto key() const { return std::tie(Connect, FirstByte, Idle); }

private:
  milliseconds Connect;
  milliseconds FirstByte;
  milliseconds Idle;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPTIMEOUTS_H
