#ifndef BLUEBELLKEEL_POLICY_VERSIONSTATS_H
#define BLUEBELLKEEL_POLICY_VERSIONSTATS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Policy/EventIntervals.h"
#include "bluebellkeel/Policy/LogTimeMean.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Statistics of one or several versions' responses, from one or several
/// instances.
class version_stats : public comparable<version_stats> {
public:
  version_stats() = default;
  version_stats(std::uint64_t Good, std::uint64_t Bad, log_time_mean FirstByte,
                event_intervals EventIntervals)
      : Good(Good), Bad(Bad), FirstByte(FirstByte),
        EventIntervals(EventIntervals) {}

  std::uint64_t good() const { return Good; }
  std::uint64_t bad() const { return Bad; }
  std::uint64_t total() const { return Good + Bad; }
  /// Times to the first byte of a response.
  const log_time_mean &firstByte() const { return FirstByte; }
  const event_intervals &eventIntervals() const { return EventIntervals; }
  double badShare() const {
    return total() == 0
               ? 0
               : static_cast<double>(Bad) / static_cast<double>(total());
  }

  version_stats withResponse(bool IsGood) const {
    return {Good + (IsGood ? 1 : 0), Bad + (IsGood ? 0 : 1), FirstByte,
            EventIntervals};
  }
  version_stats withFirstByte(milliseconds Time) const {
    return {Good, Bad, FirstByte.with(Time), EventIntervals};
  }
  version_stats withEventInterval(milliseconds Time, double Running) const {
    return {Good, Bad, FirstByte, EventIntervals.with(Time, Running)};
  }
  version_stats plus(const version_stats &Other) const {
    return {Good + Other.Good, Bad + Other.Bad, FirstByte.plus(Other.FirstByte),
            EventIntervals.plus(Other.EventIntervals)};
  }
  auto key() const { return std::tie(Good, Bad, FirstByte, EventIntervals); }

private:
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  log_time_mean FirstByte;
  event_intervals EventIntervals;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONSTATS_H
