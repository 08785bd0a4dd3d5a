#include "bluebellkeel/Policy/EventIntervals.h"

using namespace bluebellkeel;

std::size_t event_intervals::levelOf(double Running) {
  constexpr double FirstLimit = 4;
  std::size_t Level = 0;
  for (double Limit = FirstLimit; Level + 1 < Levels && Running >= Limit;
       Limit *= 2)
    ++Level;
  return Level;
}

event_intervals event_intervals::with(milliseconds Time, double Running) const {
  level_means Result = Means;
  log_time_mean &Mean = Result.at(levelOf(Running));
  Mean = Mean.with(Time);
  return event_intervals(Result);
}

event_intervals event_intervals::plus(const event_intervals &Other) const {
  level_means Result = Means;
  for (std::size_t Level = 0; Level < Levels; ++Level)
    Result.at(Level) = Result.at(Level).plus(Other.Means.at(Level));
  return event_intervals(Result);
}

std::optional<log_time_mean> event_intervals::atLeast(std::size_t Level) const {
  log_time_mean Pool;
  for (; Level < Levels && Pool.count() < MinTimes; ++Level)
    Pool = Pool.plus(Means.at(Level));
  if (Pool.count() < MinTimes)
    return std::nullopt;
  return Pool;
}

std::optional<double>
event_intervals::differenceTo(const event_intervals &Others) const {
  std::uint64_t Compared = 0;
  double Sum = 0;
  for (std::size_t Level = 0; Level < Levels; ++Level) {
    const log_time_mean &Own = Means.at(Level);
    if (Own.count() == 0)
      continue;
    auto Other = Others.atLeast(Level);
    if (!Other)
      continue;
    Compared += Own.count();
    Sum += static_cast<double>(Own.count()) * (Own.mean() - Other->mean());
  }
  if (Compared < MinTimes)
    return std::nullopt;
  return Sum / static_cast<double>(Compared);
}
