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
  upstream_condition(std::optional<double> RateLimit, bool LimitConfirmed,
                     bool Leaving)
      : RateLimit(RateLimit), LimitConfirmed(LimitConfirmed), Leaving(Leaving) {
  }

  /// Requests per second that the upstream accepts from all instances together;
  /// empty if it names no limit.
  const std::optional<double> &rateLimit() const { return RateLimit; }
  /// True if the upstream has named the limit recently, to this instance or to
  /// a peer.
  bool limitConfirmed() const { return LimitConfirmed; }
  /// True once the upstream has announced that it will leave.
  bool leaving() const { return Leaving; }
  auto key() const { return std::tie(RateLimit, LimitConfirmed, Leaving); }

private:
  std::optional<double> RateLimit;
  bool LimitConfirmed = false;
  bool Leaving = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H
