#ifndef BLUEBELLKEEL_HTTP_HTTPLIMITS_H
#define BLUEBELLKEEL_HTTP_HTTPLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/MemoryUse.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <tuple>

namespace bluebellkeel {

/// Limits that a server enforces on its clients.
class http_limits : public comparable<http_limits> {
public:
  /// Defaults: a common limit for the header size, and times that only a
  /// stalled client exceeds.
  static constexpr std::size_t DefaultHeaderBytes = 16UL * 1024;
  static constexpr milliseconds DefaultHeaderTime{60000};
  static constexpr milliseconds DefaultIdleTime{60000};

  http_limits(std::size_t Connections, std::size_t BodyBytes,
              milliseconds Write)
      : Connections(Connections), BodyBytes(BodyBytes), Write(Write) {}

  /// Returns a copy with other limits for the head of a request.
  http_limits withHeader(std::size_t Bytes, milliseconds Time) const;
  /// Returns a copy with another limit for one body.
  http_limits withBody(std::size_t Bytes) const;
  /// Returns a copy with another limit for connections without a request.
  http_limits withIdle(milliseconds Time) const;

  /// Returns a copy for requests that may take memory when it is too short for
  /// all others.
  http_limits withUrgentRequests() const;

  std::size_t connections() const { return Connections; }
  std::size_t headerBytes() const { return HeaderBytes; }
  std::size_t bodyBytes() const { return BodyBytes; }
  /// Maximum time from the first byte of a request to the end of its head.
  milliseconds headerTime() const { return HeaderTime; }
  /// Maximum time that a connection may be open without a request.
  milliseconds idleTime() const { return IdleTime; }
  /// Maximum time that the write of one piece of a response may take.
  milliseconds write() const { return Write; }
  /// What connections and requests take their memory for.
  memory_use connectionUse() const {
    return Urgent ? memory_use::Urgent : memory_use::Connection;
  }
  memory_use requestUse() const {
    return Urgent ? memory_use::Urgent : memory_use::Request;
  }
  auto key() const {
    return std::tie(Connections, HeaderBytes, BodyBytes, HeaderTime, IdleTime,
                    Write, Urgent);
  }

private:
  std::size_t Connections;
  std::size_t HeaderBytes = DefaultHeaderBytes;
  std::size_t BodyBytes;
  milliseconds HeaderTime = DefaultHeaderTime;
  milliseconds IdleTime = DefaultIdleTime;
  milliseconds Write;
  bool Urgent = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_HTTPLIMITS_H
