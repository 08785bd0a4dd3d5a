#ifndef BLUEBELLKEEL_RELAY_ATTEMPTERROR_H
#define BLUEBELLKEEL_RELAY_ATTEMPTERROR_H

#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Why one attempt at an upstream gave no whole answer.
enum class attempt_error {
  /// No connection was made; nothing was sent.
  ConnectFailed,
  /// The upstream answered that it takes no more; it did not run the request.
  TurnedAway,
  /// Another upstream, or another version, answered at the address; it did not
  /// run the request.
  WrongInstance,
  /// No first byte in time.
  FirstByteTimeout,
  /// The answer stopped coming, though the connection stayed open.
  Silent,
  /// The connection ended before the answer did.
  Truncated,
  /// The answer belongs to another request.
  Crossed,
  /// The answer could not be read.
  Malformed,
  /// The answer grew past its bound.
  TooLarge,
  /// The upstream reported an error of its own.
  Failed,
  /// The caller went away or read too slowly.
  CallerGone,
  /// The time for the final answer was up.
  TimeLimit,
};

/// The stable code that counters see.
std::string_view toString(attempt_error Error);
const std::vector<attempt_error> &allAttemptErrors();

/// True when the upstream surely did not run the request.
constexpr bool definitelyNotRun(attempt_error Error) {
  return Error == attempt_error::ConnectFailed ||
         Error == attempt_error::TurnedAway ||
         Error == attempt_error::WrongInstance;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ATTEMPTERROR_H
