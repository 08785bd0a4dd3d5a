#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// What is known at one moment of what an upstream said of itself.
class upstream_condition : public comparable<upstream_condition> {
public:
  upstream_condition() = default;
  /// Constructor arguments of upstream_condition.
  struct fields {
    std::optional<double> RateLimit;
    bool LimitConfirmed = false;
    bool Leaving = false;
    std::optional<milliseconds> PauseLeft;
  };

  explicit upstream_condition(fields Fields) : Content(Fields) {}

  /// Requests per second that the upstream accepts from all instances together;
  /// empty if it names no limit.
  const std::optional<double> &rateLimit() const { return Content.RateLimit; }
  /// True if the upstream has named the limit recently, to this instance or to
  /// a peer.
  bool limitConfirmed() const { return Content.LimitConfirmed; }
  /// True once the upstream has announced that it will leave.
  bool leaving() const { return Content.Leaving; }
  /// Time for which the upstream still wants no requests from this instance;
  /// empty if it asked for no pause, or the pause is over.
  const std::optional<milliseconds> &pauseLeft() const {
    return Content.PauseLeft;
  }
  auto key() const {
    return std::tie(Content.RateLimit, Content.LimitConfirmed, Content.Leaving,
                    Content.PauseLeft);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMCONDITION_H
