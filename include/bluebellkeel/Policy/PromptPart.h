#ifndef BLUEBELLKEEL_POLICY_PROMPTPART_H
#define BLUEBELLKEEL_POLICY_PROMPTPART_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// A part of a prompt that other requests may share.
class prompt_part : public comparable<prompt_part> {
public:
  prompt_part(std::string Id, std::uint64_t Tokens)
      : Id(std::move(Id)), Tokens(Tokens) {}

  const std::string &id() const { return Id; }
  std::uint64_t tokens() const { return Tokens; }
  auto key() const { return std::tie(Id, Tokens); }

private:
  std::string Id;
  std::uint64_t Tokens;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PROMPTPART_H
