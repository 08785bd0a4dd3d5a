#include "bluebellkeel/Relay/AttemptError.h"

using namespace bluebellkeel;

std::string_view bluebellkeel::toString(attempt_error Error) {
  switch (Error) {
  case attempt_error::ConnectFailed:
    return "connect_failed";
  case attempt_error::TurnedAway:
    return "turned_away";
  case attempt_error::WrongInstance:
    return "wrong_instance";
  case attempt_error::FirstByteTimeout:
    return "first_byte_timeout";
  case attempt_error::Silent:
    return "silent";
  case attempt_error::Truncated:
    return "truncated";
  case attempt_error::Crossed:
    return "crossed";
  case attempt_error::Malformed:
    return "malformed";
  case attempt_error::TooLarge:
    return "too_large";
  case attempt_error::Failed:
    return "failed";
  case attempt_error::CallerGone:
    return "caller_gone";
  case attempt_error::TimeLimit:
    return "time_limit";
  case attempt_error::NoMemory:
    return "no_memory";
  }
  return "";
}

const std::vector<attempt_error> &bluebellkeel::allAttemptErrors() {
  static const std::vector<attempt_error> All = {
      attempt_error::ConnectFailed, attempt_error::TurnedAway,
      attempt_error::WrongInstance, attempt_error::FirstByteTimeout,
      attempt_error::Silent,        attempt_error::Truncated,
      attempt_error::Crossed,       attempt_error::Malformed,
      attempt_error::TooLarge,      attempt_error::Failed,
      attempt_error::CallerGone,    attempt_error::TimeLimit,
      attempt_error::NoMemory};
  return All;
}
