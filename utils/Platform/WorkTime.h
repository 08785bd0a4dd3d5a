#ifndef UTILS_PLATFORM_WORKTIME_H
#define UTILS_PLATFORM_WORKTIME_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <random>
#include <tuple>

namespace bluebellkeel {

/// Distribution of the time that a request takes at an upstream: lognormal, and
/// a share of the requests takes several times as long.
class work_time : public comparable<work_time> {
public:
  /// Constructor arguments of a distribution.
  struct fields {
    double MeanMs = 0;
    /// Standard deviation of the logarithm; 0 for a constant time.
    double Spread = 0;
    double SlowShare = 0;
    double SlowFactor = 1;
    double MaxMs = 0;
  };

  explicit work_time(fields Fields) : Content(Fields) {}

  milliseconds draw(std::mt19937_64 &Random) const;
  double meanMs() const { return Content.MeanMs; }
  double spread() const { return Content.Spread; }
  double slowShare() const { return Content.SlowShare; }
  double slowFactor() const { return Content.SlowFactor; }
  double maxMs() const { return Content.MaxMs; }
  auto key() const {
    return std::tie(Content.MeanMs, Content.Spread, Content.SlowShare,
                    Content.SlowFactor, Content.MaxMs);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_WORKTIME_H
