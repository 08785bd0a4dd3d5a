#ifndef BLUEBELLKEEL_CORE_LOGPOSITION_H
#define BLUEBELLKEEL_CORE_LOGPOSITION_H

#include "bluebellkeel/Core/LogOffset.h"
#include <tuple>

namespace bluebellkeel {

/// A position in one stream of a log that may be restored from a copy. Its
/// offsets then go back and are given out again in a new era, so that a
/// position of a later era is newer than all of earlier ones.
class log_position : public comparable<log_position> {
public:
  log_position() = default;
  log_position(std::uint64_t Era, log_offset Offset)
      : Era(Era), Offset(Offset) {}
  /// Converts an offset of a log that was never restored.
  log_position(log_offset Offset) : Offset(Offset) {}

  /// Rises by one each time the log is restored.
  std::uint64_t era() const { return Era; }
  log_offset offset() const { return Offset; }
  auto key() const { return std::tie(Era, Offset); }

private:
  std::uint64_t Era = 0;
  log_offset Offset;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_LOGPOSITION_H
