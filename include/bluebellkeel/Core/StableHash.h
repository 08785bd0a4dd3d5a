#ifndef BLUEBELLKEEL_CORE_STABLEHASH_H
#define BLUEBELLKEEL_CORE_STABLEHASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace bluebellkeel {

/// Returns a hash of \p Text that is the same on every instance and in every
/// release.
std::uint64_t stableHash(std::string_view Text);

/// Returns the hash of the texts in \p Parts one after the other, without a
/// copy of them.
std::uint64_t stableHashOfParts(std::initializer_list<std::string_view> Parts);

/// Returns the weight of \p Node for \p Key in rendezvous hashing. The node
/// with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_STABLEHASH_H
