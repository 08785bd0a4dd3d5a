#include "bluebellkeel/Core/StableHash.h"
#include <memory>
#include <xxhash.h>

using namespace bluebellkeel;

std::uint64_t bluebellkeel::stableHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::uint64_t
bluebellkeel::stableHashOfParts(std::initializer_list<std::string_view> Parts) {
  std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> State(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(State.get());
  for (std::string_view Part : Parts)
    XXH3_64bits_update(State.get(), Part.data(), Part.size());
  return XXH3_64bits_digest(State.get());
}

std::uint64_t bluebellkeel::rendezvousWeight(std::string_view Key,
                                             std::string_view Node) {
  return XXH3_64bits_withSeed(Node.data(), Node.size(), stableHash(Key));
}
