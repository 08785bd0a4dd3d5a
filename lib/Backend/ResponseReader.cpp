#include "ResponseReader.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr const char *EndOfEvents = "[DONE]";
static constexpr const char *IdPrefix = "chatcmpl-";

static bool hasFinishReason(const json &Event) {
  auto Choices = Event.find("choices");
  if (Choices == Event.end() || !Choices->is_array() || Choices->empty())
    return false;
  const json &First = Choices->front();
  return First.is_object() && First.contains("finish_reason") &&
         !First["finish_reason"].is_null();
}

void response_reader::readUsage(const json &Usage) {
  if (!Usage.is_object())
    return;
  auto Count = [&](const char *Name) -> std::uint64_t {
    auto Found = Usage.find(Name);
    bool Usable = Found != Usage.end() && Found->is_number_unsigned();
    return Usable ? Found->get<std::uint64_t>() : 0;
  };
  PromptTokens = Count("prompt_tokens");
  CompletionTokens = Count("completion_tokens");
}

std::optional<attempt_error>
response_reader::handleEvent(const std::string &Data) {
  if (Data == EndOfEvents) {
    Ended = true;
    return std::nullopt;
  }
  auto Event = parseJson(Data);
  if (!Event || !Event->is_object())
    return attempt_error::Malformed;
  if (Event->contains("error"))
    return attempt_error::Failed;
  auto Id = Event->find("id");
  if (Id == Event->end() || *Id != IdPrefix + Attempt.id())
    return attempt_error::Crossed;
  if (Event->contains("usage"))
    readUsage((*Event)["usage"]);
  auto Choices = Event->find("choices");
  bool HasContent =
      Choices != Event->end() && Choices->is_array() && !Choices->empty();
  if (!HasContent)
    return std::nullopt;
  // No content may follow the event that has the finish reason.
  if (Finished)
    return attempt_error::Malformed;
  Finished = hasFinishReason(*Event);
  (*Event)["id"] = IdPrefix + Attempt.request().id().text();
  Event->erase("usage");
  if (!Sink.put(response_chunk(Event->dump(), Finished)))
    return attempt_error::CallerGone;
  return std::nullopt;
}
