#ifndef BLUEBELLKEEL_POLICY_PROMPTPART_H
#define BLUEBELLKEEL_POLICY_PROMPTPART_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// A part of a prompt that other requests may share.
class prompt_part : public comparable<prompt_part> {
public:
  /// Maximum length of an id that is kept as it is, in bytes.
  static constexpr std::size_t MaxIdBytes = 64;

  /// A longer id is replaced by a digest: ids are kept after their request and
  /// sent to peers, and callers choose them.
  prompt_part(std::string Id, std::uint64_t Tokens);

  const std::string &id() const { return Id; }
  std::uint64_t tokens() const { return Tokens; }
  auto key() const { return std::tie(Id, Tokens); }

private:
  std::string Id;
  std::uint64_t Tokens;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PROMPTPART_H
