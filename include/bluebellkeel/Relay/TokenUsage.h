#ifndef BLUEBELLKEEL_RELAY_TOKENUSAGE_H
#define BLUEBELLKEEL_RELAY_TOKENUSAGE_H

#include "bluebellkeel/Core/VersionId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// Number of tokens that a complete response used.
class token_usage : public comparable<token_usage> {
public:
  token_usage() = default;
  token_usage(std::uint64_t PromptTokens, std::uint64_t CompletionTokens)
      : PromptTokens(PromptTokens), CompletionTokens(CompletionTokens) {}

  std::uint64_t promptTokens() const { return PromptTokens; }
  std::uint64_t completionTokens() const { return CompletionTokens; }
  std::uint64_t tokens() const { return PromptTokens + CompletionTokens; }
  auto key() const { return std::tie(PromptTokens, CompletionTokens); }

private:
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_TOKENUSAGE_H
