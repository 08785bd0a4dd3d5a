#ifndef BLUEBELLKEEL_LIB_FRONTEND_CHATBODY_H
#define BLUEBELLKEEL_LIB_FRONTEND_CHATBODY_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <tuple>

namespace bluebellkeel {

/// What the front end reads of a chat completion's body.
class chat_body : public comparable<chat_body> {
public:
  static constexpr std::uint64_t DefaultCompletionTokens = 512;
  static constexpr std::uint64_t MaxCompletionTokens = 1000000;
  /// A token of a prompt stands for about this many bytes.
  static constexpr std::uint64_t BytesPerToken = 3;

  static tl::expected<chat_body, codec_error> parse(const std::string &Text);

  const std::string &model() const { return Model; }
  bool stream() const { return Stream; }
  /// Most tokens of prompt and answer together.
  std::uint64_t maxTokens() const { return MaxTokens; }
  /// The messages, for fingerprints.
  const std::string &messages() const { return Messages; }
  auto key() const { return std::tie(Model, Stream, MaxTokens, Messages); }

private:
  std::string Model;
  bool Stream = false;
  std::uint64_t MaxTokens = 0;
  std::string Messages;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_CHATBODY_H
