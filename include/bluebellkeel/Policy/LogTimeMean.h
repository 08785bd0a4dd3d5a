#ifndef BLUEBELLKEEL_POLICY_LOGTIMEMEAN_H
#define BLUEBELLKEEL_POLICY_LOGTIMEMEAN_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Mean of the natural logarithms of times in milliseconds, so that a few long
/// times do not hide the others.
class log_time_mean : public comparable<log_time_mean> {
public:
  log_time_mean() = default;
  log_time_mean(std::uint64_t Count, double LogSum)
      : Count(Count), LogSum(LogSum) {}

  std::uint64_t count() const { return Count; }
  double logSum() const { return LogSum; }
  /// Returns the mean logarithm; 0 if no time was added.
  double mean() const {
    return Count == 0 ? 0 : LogSum / static_cast<double>(Count);
  }

  /// Times below 1 ms count as 1 ms.
  log_time_mean with(milliseconds Time) const {
    double Millis = std::max(1.0, static_cast<double>(Time.count()));
    return {Count + 1, LogSum + std::log(Millis)};
  }
  log_time_mean plus(const log_time_mean &Other) const {
    return {Count + Other.Count, LogSum + Other.LogSum};
  }
  auto key() const { return std::tie(Count, LogSum); }

private:
  std::uint64_t Count = 0;
  double LogSum = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_LOGTIMEMEAN_H
