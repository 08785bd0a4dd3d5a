#ifndef BLUEBELLKEEL_LIB_FRONTEND_STREAMSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_STREAMSINK_H

#include "ChatSink.h"
#include "bluebellkeel/Http/HttpResponder.h"

namespace bluebellkeel {

/// Streams a response as server-sent events. Each chunk is written before the
/// next is read from the upstream, so a slow caller slows its own upstream and
/// no chunks accumulate in memory.
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
