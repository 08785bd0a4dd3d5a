#ifndef BLUEBELLKEEL_HTTP_HTTPLIMITS_H
#define BLUEBELLKEEL_HTTP_HTTPLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <tuple>

namespace bluebellkeel {

/// Bounds that a server keeps towards those who connect.
class http_limits : public comparable<http_limits> {
public:
  http_limits(std::size_t Connections, std::size_t BodyBytes,
              milliseconds Write)
      : Connections(Connections), BodyBytes(BodyBytes), Write(Write) {}

  std::size_t connections() const { return Connections; }
  std::size_t bodyBytes() const { return BodyBytes; }
  /// How long one piece of an answer may take to be read by the other end.
  milliseconds write() const { return Write; }
  auto key() const { return std::tie(Connections, BodyBytes, Write); }

private:
  std::size_t Connections;
  std::size_t BodyBytes;
  milliseconds Write;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPLIMITS_H
