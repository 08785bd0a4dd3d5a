#ifndef BLUEBELLKEEL_RELAY_CHATUPSTREAM_H
#define BLUEBELLKEEL_RELAY_CHATUPSTREAM_H

#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/ChatAttempt.h"
#include "bluebellkeel/Relay/ResponseSink.h"
#include "bluebellkeel/Relay/TokenUsage.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Runs attempts on model engines.
class chat_upstream {
public:
  virtual ~chat_upstream() = default;

  /// Runs \p Attempt and puts the chunks of the response into \p Sink, the
  /// final one last. Returns the token usage only for a complete response that
  /// belongs to this attempt.
  virtual tl::expected<token_usage, attempt_error>
  run(const chat_attempt &Attempt, response_sink &Sink) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATUPSTREAM_H
