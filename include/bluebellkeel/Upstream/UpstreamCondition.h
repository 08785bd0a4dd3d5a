#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H

#include "bluebellkeel/Core/Comparable.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// What is known at one moment of what an upstream said of itself.
class upstream_condition : public comparable<upstream_condition> {
public:
  upstream_condition() = default;
  upstream_condition(std::optional<double> RateLimit, bool LimitConfirmed)
      : RateLimit(RateLimit), LimitConfirmed(LimitConfirmed) {}

  /// Requests per second that the upstream accepts from all instances together;
  /// empty if it names no limit.
  const std::optional<double> &rateLimit() const { return RateLimit; }
  /// True if the upstream has named the limit recently, to this instance or to
  /// a peer.
  bool limitConfirmed() const { return LimitConfirmed; }
  auto key() const { return std::tie(RateLimit, LimitConfirmed); }

private:
  std::optional<double> RateLimit;
  bool LimitConfirmed = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H
