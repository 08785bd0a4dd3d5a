#ifndef BLUEBELLKEEL_LIB_FRONTEND_STREAMSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_STREAMSINK_H

#include "ChatSink.h"
#include "bluebellkeel/Http/HttpResponder.h"

namespace bluebellkeel {

/// Streams an answer as server-sent events. Each piece waits until the one
/// before is on its way, so a slow caller holds up its own upstream and
/// nothing piles up here.
class stream_sink final : public chat_sink {
public:
  explicit stream_sink(http_responder &Responder) : Responder(Responder) {}

  void setHeaders(const http_headers &NewHeaders) override {
    Headers = NewHeaders;
  }
  bool put(const response_chunk &Chunk) override;
  void finish() override;
  void refuse(const refusal &Refusal) override;

private:
  http_responder &Responder;
  http_headers Headers;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_STREAMSINK_H
