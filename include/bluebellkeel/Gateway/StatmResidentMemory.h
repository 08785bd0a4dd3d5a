#ifndef BLUEBELLKEEL_GATEWAY_STATMRESIDENTMEMORY_H
#define BLUEBELLKEEL_GATEWAY_STATMRESIDENTMEMORY_H

#include "bluebellkeel/Gateway/ResidentMemory.h"
#include <string>

namespace bluebellkeel {

/// Reads the resident memory from the process file system, which may be
/// missing.
class statm_resident_memory final : public resident_memory {
public:
  explicit statm_resident_memory(std::string Path = "/proc/self/statm")
      : Path(std::move(Path)) {}

  std::optional<std::size_t> bytes() const override;

private:
  std::string Path;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_STATMRESIDENTMEMORY_H
