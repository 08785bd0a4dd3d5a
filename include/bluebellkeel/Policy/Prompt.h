#ifndef BLUEBELLKEEL_POLICY_PROMPT_H
#define BLUEBELLKEEL_POLICY_PROMPT_H

#include "bluebellkeel/Policy/PromptPart.h"
#include <vector>

namespace bluebellkeel {

/// Properties of a generation that are known before it runs.
class prompt : public comparable<prompt> {
public:
  prompt() = default;
  prompt(std::uint64_t TokensIn, std::uint64_t MaxTokensOut,
         std::uint64_t LengthHint, std::vector<prompt_part> Parts)
      : TokensIn(TokensIn), MaxTokensOut(MaxTokensOut), LengthHint(LengthHint),
        Parts(std::move(Parts)) {}

  std::uint64_t tokensIn() const { return TokensIn; }
  std::uint64_t maxTokensOut() const { return MaxTokensOut; }
  /// The caller's estimate of the output tokens; 0 when it gave none.
  std::uint64_t lengthHint() const { return LengthHint; }
  /// Expected output tokens: the caller's estimate, or half of the maximum
  /// without one.
  std::uint64_t expectedOut() const {
    return LengthHint > 0 ? LengthHint : MaxTokensOut / 2;
  }
  /// Parts in the order of the prompt; the last part belongs to this request
  /// alone.
  const std::vector<prompt_part> &parts() const { return Parts; }
  /// Returns the ids of the parts that other requests may share.
  std::vector<std::string> sharedPartIds() const {
    std::vector<std::string> Ids;
    for (std::size_t I = 0; I + 1 < Parts.size(); ++I)
      Ids.push_back(Parts[I].id());
    return Ids;
  }
  auto key() const {
    return std::tie(TokensIn, MaxTokensOut, LengthHint, Parts);
  }

private:
  std::uint64_t TokensIn = 0;
  std::uint64_t MaxTokensOut = 0;
  std::uint64_t LengthHint = 0;
  std::vector<prompt_part> Parts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PROMPT_H
