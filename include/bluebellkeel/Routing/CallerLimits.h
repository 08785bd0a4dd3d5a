#ifndef BLUEBELLKEEL_ROUTING_CALLERLIMITS_H
#define BLUEBELLKEEL_ROUTING_CALLERLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// What the operators allow callers to send, and how long they may take. What
/// is not given is left to the server.
class caller_limits : public comparable<caller_limits> {
public:
  caller_limits() = default;
  caller_limits(std::optional<std::size_t> HeaderBytes,
                std::optional<std::size_t> BodyBytes,
                std::optional<milliseconds> HeaderTime,
                std::optional<milliseconds> IdleTime)
      : HeaderBytes(HeaderBytes), BodyBytes(BodyBytes), HeaderTime(HeaderTime),
        IdleTime(IdleTime) {}

  const std::optional<std::size_t> &headerBytes() const { return HeaderBytes; }
  const std::optional<std::size_t> &bodyBytes() const { return BodyBytes; }
  /// From the first byte of a request to the end of its head.
  const std::optional<milliseconds> &headerTime() const { return HeaderTime; }
  /// For a connection without a request.
  const std::optional<milliseconds> &idleTime() const { return IdleTime; }
  auto key() const {
    return std::tie(HeaderBytes, BodyBytes, HeaderTime, IdleTime);
  }

private:
  std::optional<std::size_t> HeaderBytes;
  std::optional<std::size_t> BodyBytes;
  std::optional<milliseconds> HeaderTime;
  std::optional<milliseconds> IdleTime;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_CALLERLIMITS_H
