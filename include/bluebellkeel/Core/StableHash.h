#ifndef BLUEBELLKEEL_CORE_STABLEHASH_H
#define BLUEBELLKEEL_CORE_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace bluebellkeel {

/// The same number for the same text on every instance and in every release.
std::uint64_t stableHash(std::string_view Text);

/// The weight of \p Node for \p Key in rendezvous hashing; the highest wins.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_STABLEHASH_H
