#ifndef BLUEBELLKEEL_POLICY_VERSIONSTATS_H
#define BLUEBELLKEEL_POLICY_VERSIONSTATS_H

#include "bluebellkeel/Core/Comparable.h"
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
                log_time_mean EventInterval)
      : Good(Good), Bad(Bad), FirstByte(FirstByte),
        EventInterval(EventInterval) {}

  std::uint64_t good() const { return Good; }
  std::uint64_t bad() const { return Bad; }
  std::uint64_t total() const { return Good + Bad; }
  /// Times to the first byte of a response.
  const log_time_mean &firstByte() const { return FirstByte; }
  /// Mean times between two events of a stream.
  const log_time_mean &eventInterval() const { return EventInterval; }
  double badShare() const {
    return total() == 0
               ? 0
               : static_cast<double>(Bad) / static_cast<double>(total());
  }

  version_stats withResponse(bool IsGood) const {
    return {Good + (IsGood ? 1 : 0), Bad + (IsGood ? 0 : 1), FirstByte,
            EventInterval};
  }
  version_stats withFirstByte(milliseconds Time) const {
    return {Good, Bad, FirstByte.with(Time), EventInterval};
  }
  version_stats withEventInterval(milliseconds Time) const {
    return {Good, Bad, FirstByte, EventInterval.with(Time)};
  }
  version_stats plus(const version_stats &Other) const {
    return {Good + Other.Good, Bad + Other.Bad, FirstByte.plus(Other.FirstByte),
            EventInterval.plus(Other.EventInterval)};
  }
  auto key() const { return std::tie(Good, Bad, FirstByte, EventInterval); }

private:
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  log_time_mean FirstByte;
  log_time_mean EventInterval;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONSTATS_H
