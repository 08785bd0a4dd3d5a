#ifndef BLUEBELLKEEL_LIB_FRONTEND_CHATSINK_H
#define BLUEBELLKEEL_LIB_FRONTEND_CHATSINK_H

#include "bluebellkeel/Http/HttpHeaders.h"
#include "bluebellkeel/Relay/Refusal.h"
#include "bluebellkeel/Relay/ResponseSink.h"

namespace bluebellkeel {

/// Brings an answer to its caller.
class chat_sink : public response_sink {
public:
  /// The head of the answer; set anew before each attempt until a piece went
  /// out.
  virtual void setHeaders(const http_headers &Headers) = 0;
  /// Ends a whole answer.
  virtual void finish() = 0;
  /// Ends with a refusal, in whichever form is still open.
  virtual void refuse(const refusal &Refusal) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_CHATSINK_H
