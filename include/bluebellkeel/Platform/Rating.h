#ifndef BLUEBELLKEEL_PLATFORM_RATING_H
#define BLUEBELLKEEL_PLATFORM_RATING_H

#include "bluebellkeel/Core/VersionId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// The rating of one response, made after the response was sent.
class rating : public comparable<rating> {
public:
  rating(std::uint64_t Number, version_id Version, bool Good)
      : Number(Number), Version(std::move(Version)), Good(Good) {}

  /// Sequence number over all ratings of the service.
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
