#ifndef BLUEBELLKEEL_CORE_LOGOFFSET_H
#define BLUEBELLKEEL_CORE_LOGOFFSET_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>

namespace bluebellkeel {

/// A position in one stream of the platform's log. The first record has
/// offset 1; offset 0 precedes all records.
class log_offset : public comparable<log_offset> {
public:
  log_offset() = default;
  explicit log_offset(std::uint64_t Value) : Value(Value) {}

  std::uint64_t value() const { return Value; }
  log_offset next() const { return log_offset(Value + 1); }
  std::uint64_t key() const { return Value; }

private:
  std::uint64_t Value = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_LOGOFFSET_H
