#ifndef BLUEBELLKEEL_POLICY_EVENTINTERVALS_H
#define BLUEBELLKEEL_POLICY_EVENTINTERVALS_H

#include "bluebellkeel/Policy/LogTimeMean.h"
#include <array>
#include <cstddef>
#include <optional>

namespace bluebellkeel {

/// Mean times between two events of streams, by the load of the upstreams that
/// produced them. The times grow with the load, so those of two versions are
/// compared at similar load only.
class event_intervals : public comparable<event_intervals> {
public:
  /// Level 0 holds upstreams with fewer than 4 running requests, each further
  /// level those with up to twice as many, the last one all others.
  static constexpr std::size_t Levels = 5;
  /// Minimum number of times to compare.
  static constexpr std::uint64_t MinTimes = 8;
  using level_means = std::array<log_time_mean, Levels>;

  event_intervals() = default;
  explicit event_intervals(level_means Means) : Means(Means) {}

  /// Returns the level of an upstream with \p Running requests.
  static std::size_t levelOf(double Running);

  const level_means &means() const { return Means; }
  event_intervals with(milliseconds Time, double Running) const;
  event_intervals plus(const event_intervals &Other) const;
  /// Returns the mean difference of the logarithms to \p Others, which may be
  /// under more load but not under less. Empty if there are too few times.
  std::optional<double> differenceTo(const event_intervals &Others) const;
  auto key() const { return std::tie(Means); }

private:
  /// Returns the times at \p Level, with those of the next levels if they are
  /// too few; empty if all of them are.
  std::optional<log_time_mean> atLeast(std::size_t Level) const;

  level_means Means;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_EVENTINTERVALS_H
