#include "ChatBody.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include "bluebellkeel/Codec/JsonText.h"

using namespace bluebellkeel;

tl::expected<chat_body, codec_error> chat_body::parse(const std::string &Text) {
  auto Json = parseJson(Text);
  if (!Json)
    return tl::unexpected(Json.error());
  field_reader Fields(*Json);
  chat_body Body;
  Body.Model = Fields.text("model");
  const nlohmann::json &Messages = Fields.array("messages");
  if (Messages.empty())
    Fields.fail("messages: expected at least one");
  Body.Messages = Messages.dump();
  if (!Fields.optional("stream").is_null())
    Body.Stream = Fields.flag("stream");
  std::uint64_t CompletionTokens = DefaultCompletionTokens;
  if (!Fields.optional("max_tokens").is_null())
    CompletionTokens = Fields.number("max_tokens");
  if (CompletionTokens > MaxCompletionTokens)
    Fields.fail("max_tokens: expected at most 1000000");
  Body.MaxTokens = CompletionTokens + Body.Messages.size() / BytesPerToken;
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return Body;
}
