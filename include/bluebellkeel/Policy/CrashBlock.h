#ifndef BLUEBELLKEEL_POLICY_CRASHBLOCK_H
#define BLUEBELLKEEL_POLICY_CRASHBLOCK_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <optional>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// What keeps a request from being sent: crashes of equal requests, or of
/// requests with a common part.
class crash_block : public comparable<crash_block> {
public:
  /// A block of which only the name is known.
  explicit crash_block(std::string Name) : Name(std::move(Name)) {}
  /// \param FailedTrials number of crashes since the block began.
  crash_block(std::string Name, monotonic_time LatestCrash,
              std::size_t FailedTrials)
      : Name(std::move(Name)), LatestCrash(LatestCrash),
        FailedTrials(FailedTrials) {}

  const std::string &name() const { return Name; }
  /// Empty if it is not known.
  const std::optional<monotonic_time> &latestCrash() const {
    return LatestCrash;
  }
  std::size_t failedTrials() const { return FailedTrials; }
  auto key() const { return std::tie(Name, LatestCrash, FailedTrials); }

private:
  std::string Name;
  std::optional<monotonic_time> LatestCrash;
  std::size_t FailedTrials = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CRASHBLOCK_H
