#include "StreamSink.h"
#include "JsonResponse.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

static constexpr int StatusOk = 200;

static std::string eventOf(const std::string &Data) {
  return "data: " + Data + "\n\n";
}

bool stream_sink::put(const response_chunk &Chunk) {
  if (!Responder.started()) {
    auto Head = Headers.with("Content-Type", "text/event-stream")
                    .with("Cache-Control", "no-store");
    if (!Responder.begin(StatusOk, Head))
      return false;
  }
  return Responder.write(eventOf(Chunk.payload()));
}

void stream_sink::finish() {
  if (Responder.write(eventOf("[DONE]")))
    Responder.end();
}

void stream_sink::refuse(const refusal &Refusal) {
  if (!Responder.started()) {
    sendRefusal(Responder, Refusal, Headers);
    return;
  }
  if (Responder.write(eventOf(errorToJson(Refusal).dump())))
    Responder.end();
}
