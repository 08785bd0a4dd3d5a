#include "bluebellkeel/Gateway/StatmResidentMemory.h"
#include <fstream>
#include <unistd.h>

using namespace bluebellkeel;

std::optional<std::size_t> statm_resident_memory::bytes() const {
  std::ifstream File(Path);
  std::size_t VirtualPages = 0;
  std::size_t ResidentPages = 0;
  if (!(File >> VirtualPages >> ResidentPages))
    return std::nullopt;
  return ResidentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}
