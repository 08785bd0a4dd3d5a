#ifndef BLUEBELLKEEL_RELAY_CONTIGUOUSEVENTS_H
#define BLUEBELLKEEL_RELAY_CONTIGUOUSEVENTS_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// Consecutive stream events to pass to the caller.
class contiguous_events : public comparable<contiguous_events> {
public:
  contiguous_events(std::string Bytes, bool Gap)
      : Bytes(std::move(Bytes)), Gap(Gap) {}

  const std::string &bytes() const { return Bytes; }
  /// True if the event after these bytes is missing.
  bool gap() const { return Gap; }
  auto key() const { return std::tie(Bytes, Gap); }

private:
  std::string Bytes;
  bool Gap;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CONTIGUOUSEVENTS_H
