#ifndef BLUEBELLKEEL_LIB_FRONTEND_CHATSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_CHATSINK_H

#include "bluebellkeel/Http/HttpHeaders.h"
#include "bluebellkeel/Relay/Refusal.h"
#include "bluebellkeel/Relay/ResponseSink.h"

namespace bluebellkeel {

/// Sends a chat response to its caller.
class chat_sink : public response_sink {
public:
  /// Sets the headers of the response. Called before each attempt, until a
  /// piece of the response is sent.
  virtual void setHeaders(const http_headers &Headers) = 0;
  /// Completes the response.
  virtual void finish() = 0;
  /// Ends the response with a refusal: as an error response, or as an event if
  /// a stream has begun.
  virtual void refuse(const refusal &Refusal) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_CHATSINK_H
