#ifndef BLUEBELLKEEL_PLATFORM_RATING_H
#define BLUEBELLKEEL_PLATFORM_RATING_H

#include "bluebellkeel/Core/VersionId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// What the rating service says of one answer, late.
class rating : public comparable<rating> {
public:
  rating(std::uint64_t Number, version_id Version, bool Good)
      : Number(Number), Version(std::move(Version)), Good(Good) {}

  /// Counts up over all ratings of the service.
  std::uint64_t number() const { return Number; }
  const version_id &version() const { return Version; }
  bool good() const { return Good; }
  auto key() const { return std::tie(Number, Version, Good); }

private:
  std::uint64_t Number;
  version_id Version;
  bool Good;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_RATING_H
