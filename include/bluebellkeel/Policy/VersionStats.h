#ifndef BLUEBELLKEEL_POLICY_VERSIONSTATS_H
#define BLUEBELLKEEL_POLICY_VERSIONSTATS_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Statistics of one or several versions' responses, from one or several
/// instances.
class version_stats : public comparable<version_stats> {
public:
  version_stats() = default;
  version_stats(std::uint64_t Good, std::uint64_t Bad, std::uint64_t Timed,
                double LogTimeSum)
      : Good(Good), Bad(Bad), Timed(Timed), LogTimeSum(LogTimeSum) {}

  std::uint64_t good() const { return Good; }
  std::uint64_t bad() const { return Bad; }
  std::uint64_t total() const { return Good + Bad; }
  /// Number of responses whose time to the first byte was measured.
  std::uint64_t timed() const { return Timed; }
  /// Sum of the natural logarithms of the times to the first byte in
  /// milliseconds.
  double logTimeSum() const { return LogTimeSum; }
  double badShare() const {
    return total() == 0
               ? 0
               : static_cast<double>(Bad) / static_cast<double>(total());
  }
  /// Mean logarithm of the time to the first byte; 0 if none was measured.
  double meanLogTime() const {
    return Timed == 0 ? 0 : LogTimeSum / static_cast<double>(Timed);
  }

  version_stats withResponse(bool IsGood) const {
    return {Good + (IsGood ? 1 : 0), Bad + (IsGood ? 0 : 1), Timed, LogTimeSum};
  }
  version_stats withTime(double LogTime) const {
    return {Good, Bad, Timed + 1, LogTimeSum + LogTime};
  }
  version_stats plus(const version_stats &Other) const {
    return {Good + Other.Good, Bad + Other.Bad, Timed + Other.Timed,
            LogTimeSum + Other.LogTimeSum};
  }
  auto key() const { return std::tie(Good, Bad, Timed, LogTimeSum); }

private:
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
  std::uint64_t Timed = 0;
  double LogTimeSum = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONSTATS_H
