#ifndef BLUEBELLKEEL_RELAY_FORWARDCALLER_H
#define BLUEBELLKEEL_RELAY_FORWARDCALLER_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Relay/RefusalReason.h"
#include "bluebellkeel/Relay/ResponseHead.h"
#include <string>
#include <string_view>

namespace bluebellkeel {

/// Sends the response of one request to its caller. Each function that returns
/// bool blocks until the bytes are sent and returns false if the caller is
/// gone.
class forward_caller {
public:
  virtual ~forward_caller() = default;

  /// Sends an upstream's complete response.
  virtual bool respond(const response_head &Head, std::string Body) = 0;
  /// Sends the head of a response that continues with write() and end().
  virtual bool begin(const response_head &Head) = 0;
  virtual bool write(std::string_view Piece) = 0;
  virtual bool end() = 0;
  /// Aborts a started response so that the caller sees it as incomplete.
  virtual void abandon() = 0;
  /// Sends a refusal made by this instance. \p RetryAfter is zero if a retry
  /// does not help.
  virtual bool refuse(refusal_reason Reason, int Status,
                      milliseconds RetryAfter) = 0;
  /// True once the caller has closed its connection.
  virtual bool gone() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDCALLER_H
