#ifndef BLUEBELLKEEL_LIB_FRONTEND_CHATBODY_H
#define BLUEBELLKEEL_LIB_FRONTEND_CHATBODY_H

#include "bluebellkeel/Codec/CodecError.h"
#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <tuple>

namespace bluebellkeel {

/// The fields of a chat completion request that the front end uses.
class chat_body : public comparable<chat_body> {
public:
  static constexpr std::uint64_t DefaultCompletionTokens = 512;
  static constexpr std::uint64_t MaxCompletionTokens = 1000000;
  /// Estimated number of bytes per prompt token.
  static constexpr std::uint64_t BytesPerToken = 3;

  static tl::expected<chat_body, codec_error> parse(const std::string &Text);

  const std::string &model() const { return Model; }
  bool stream() const { return Stream; }
  /// Estimated maximum number of tokens of prompt and response together.
  std::uint64_t maxTokens() const { return MaxTokens; }
  /// The serialized messages, whose prefix selects an upstream.
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
