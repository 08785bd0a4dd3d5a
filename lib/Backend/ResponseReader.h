#ifndef BLUEBELLKEEL_LIB_BACKEND_RESPONSEREADER_H
#define BLUEBELLKEEL_LIB_BACKEND_RESPONSEREADER_H

#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/ChatAttempt.h"
#include "bluebellkeel/Relay/ResponseSink.h"
#include "bluebellkeel/Relay/TokenUsage.h"
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace bluebellkeel {

/// Reads the events of one response: checks that each belongs to the attempt,
/// sets its id to the request's, and detects when the response is complete.
class response_reader {
public:
  response_reader(const chat_attempt &Attempt, response_sink &Sink)
      : Attempt(Attempt), Sink(Sink) {}

  /// Handles the data of one event. A returned error ends the attempt.
  std::optional<attempt_error> handleEvent(const std::string &Data);

  /// True if the response has ended and contained a finish reason.
  bool complete() const { return Ended && Finished; }
  bool ended() const { return Ended; }
  token_usage usage() const {
    return token_usage(PromptTokens, CompletionTokens);
  }

private:
  void readUsage(const nlohmann::json &Usage);

  const chat_attempt &Attempt;
  response_sink &Sink;
  bool Finished = false;
  bool Ended = false;
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_BACKEND_RESPONSEREADER_H
