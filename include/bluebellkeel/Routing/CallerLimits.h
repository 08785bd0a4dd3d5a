#ifndef BLUEBELLKEEL_ROUTING_CALLERLIMITS_H
#define BLUEBELLKEEL_ROUTING_CALLERLIMITS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// Operator-configured limits on the size and duration of callers' requests.
/// The server's defaults apply to limits that are not set.
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
  /// Time from the first byte of a request to the end of its head.
  const std::optional<milliseconds> &headerTime() const { return HeaderTime; }
  /// Time that a connection may stay open without a request.
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
