#ifndef BLUEBELLKEEL_BACKEND_ATTEMPTERROROF_H
#define BLUEBELLKEEL_BACKEND_ATTEMPTERROROF_H

#include "bluebellkeel/Http/HttpError.h"
#include "bluebellkeel/Relay/AttemptError.h"
#include <optional>

namespace bluebellkeel {

/// Turns the errors of the HTTP layer into those of an attempt.
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

/// The error that an engine's status stands for; empty for a good one. An
/// engine answers 429 and 503 before it takes a request up.
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
