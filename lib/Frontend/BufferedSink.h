#ifndef BLUEBELLKEEL_LIB_FRONTEND_BUFFEREDSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_BUFFEREDSINK_H

#include "ChatSink.h"
#include "bluebellkeel/Http/HttpResponder.h"
#include <string>

namespace bluebellkeel {

/// Collects a response and sends it whole.
class buffered_sink final : public chat_sink {
public:
  explicit buffered_sink(http_responder &Responder) : Responder(Responder) {}

  void setHeaders(const http_headers &NewHeaders) override {
    Headers = NewHeaders;
    Content.clear();
  }
  bool put(const response_chunk &Chunk) override;
  void finish() override;
  void refuse(const refusal &Refusal) override;

private:
  http_responder &Responder;
  http_headers Headers;
  std::string Content;
  std::string LastPayload;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_BUFFEREDSINK_H
