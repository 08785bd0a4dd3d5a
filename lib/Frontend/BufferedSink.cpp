#include "BufferedSink.h"
#include "DeltaText.h"
#include "JsonResponse.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr int StatusOk = 200;

bool buffered_sink::put(const response_chunk &Chunk) {
  Content += deltaText(Chunk.payload());
  LastPayload = Chunk.payload();
  return true;
}

void buffered_sink::finish() {
  json Last = parseJson(LastPayload).value_or(json::object());
  json Reason = "stop";
  if (Last.contains("choices") && !Last["choices"].empty())
    Reason = Last["choices"][0].value("finish_reason", json("stop"));
  json Message = {{"role", "assistant"}, {"content", Content}};
  json Completion = {{"id", Last.value("id", json(""))},
                     {"object", "chat.completion"},
                     {"model", Last.value("model", json(""))},
                     {"choices",
                      {{{"index", 0},
                        {"message", std::move(Message)},
                        {"finish_reason", std::move(Reason)}}}}};
  sendJson(Responder, StatusOk, Completion, Headers);
}

void buffered_sink::refuse(const refusal &Refusal) {
  sendRefusal(Responder, Refusal, Headers);
}
