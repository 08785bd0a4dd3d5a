#include "bluebellkeel/Core/StableHash.h"
#include <xxhash.h>

using namespace bluebellkeel;

std::uint64_t bluebellkeel::stableHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t bluebellkeel::rendezvousWeight(std::string_view Key,
                                             std::string_view Node) {
  return XXH3_64bits_withSeed(Node.data(), Node.size(), stableHash(Key));
}
