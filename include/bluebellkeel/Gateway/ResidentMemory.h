#ifndef BLUEBELLKEEL_GATEWAY_RESIDENTMEMORY_H
#define BLUEBELLKEEL_GATEWAY_RESIDENTMEMORY_H

#include <cstddef>
#include <optional>

namespace bluebellkeel {

/// Tells how much memory this process occupies.
class resident_memory {
public:
  virtual ~resident_memory() = default;

  /// Returns the resident memory in bytes; empty if it is unknown.
  virtual std::optional<std::size_t> bytes() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_RESIDENTMEMORY_H
