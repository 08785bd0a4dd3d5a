#ifndef BLUEBELLKEEL_RELAY_TOKENUSAGE_H
#define BLUEBELLKEEL_RELAY_TOKENUSAGE_H

#include "bluebellkeel/Core/VersionId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// What is known of a whole answer.
class token_usage : public comparable<token_usage> {
public:
  token_usage() = default;
  token_usage(std::uint64_t PromptTokens, std::uint64_t AnswerTokens)
      : PromptTokens(PromptTokens), AnswerTokens(AnswerTokens) {}

  std::uint64_t promptTokens() const { return PromptTokens; }
  std::uint64_t answerTokens() const { return AnswerTokens; }
  std::uint64_t tokens() const { return PromptTokens + AnswerTokens; }
  auto key() const { return std::tie(PromptTokens, AnswerTokens); }

private:
  std::uint64_t PromptTokens = 0;
  std::uint64_t AnswerTokens = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_TOKENUSAGE_H
