#include "bluebellkeel/Core/RandomSource.h"
#include "absl/strings/str_format.h"

using namespace bluebellkeel;

std::string random_source::hexToken() {
  std::uint64_t High = next();
  std::uint64_t Low = next();
  return absl::StrFormat("%016x%016x", High, Low);
}
