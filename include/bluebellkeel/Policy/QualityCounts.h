#ifndef BLUEBELLKEEL_POLICY_QUALITYCOUNTS_H
#define BLUEBELLKEEL_POLICY_QUALITYCOUNTS_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Numbers of good and bad ratings of a version's responses.
class quality_counts : public comparable<quality_counts> {
public:
  quality_counts() = default;
  quality_counts(std::uint64_t Good, std::uint64_t Bad)
      : Good(Good), Bad(Bad) {}

  std::uint64_t good() const { return Good; }
  std::uint64_t bad() const { return Bad; }
  std::uint64_t total() const { return Good + Bad; }

  quality_counts plus(const quality_counts &Other) const {
    return quality_counts(Good + Other.Good, Bad + Other.Bad);
  }

  auto key() const { return std::tie(Good, Bad); }

private:
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_QUALITYCOUNTS_H
