#ifndef BLUEBELLKEEL_BACKEND_ATTEMPTERROROF_H
#define BLUEBELLKEEL_BACKEND_ATTEMPTERROROF_H

#include "bluebellkeel/Http/HttpError.h"
#include "bluebellkeel/Relay/AttemptError.h"
#include <optional>

namespace bluebellkeel {

/// Returns the attempt error for an error of the HTTP layer.
inline attempt_error attemptErrorOf(http_error Error) {
  switch (Error) {
  case http_error::ConnectFailed:
    return attempt_error::ConnectFailed;
  case http_error::FirstByteTimeout:
    return attempt_error::FirstByteTimeout;
  case http_error::ReadTimeout:
    return attempt_error::Silent;
  case http_error::SendFailed:
  case http_error::Closed:
    return attempt_error::Truncated;
  case http_error::Malformed:
    return attempt_error::Malformed;
  case http_error::TooLarge:
    return attempt_error::TooLarge;
  case http_error::Cancelled:
    return attempt_error::CallerGone;
  }
  return attempt_error::Malformed;
}

/// Returns the attempt error for an engine's HTTP status; empty for 200. An
/// engine sends 429 and 503 before it starts on a request.
inline std::optional<attempt_error> attemptErrorOfStatus(int Status) {
  constexpr int Ok = 200;
  constexpr int TooMany = 429;
  constexpr int Unavailable = 503;
  if (Status == Ok)
    return std::nullopt;
  if (Status == TooMany || Status == Unavailable)
    return attempt_error::TurnedAway;
  return attempt_error::Failed;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_BACKEND_ATTEMPTERROROF_H
