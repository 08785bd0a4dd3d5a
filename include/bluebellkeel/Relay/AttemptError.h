#ifndef BLUEBELLKEEL_RELAY_ATTEMPTERROR_H
#define BLUEBELLKEEL_RELAY_ATTEMPTERROR_H

#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Why one attempt at an upstream gave no complete response.
enum class attempt_error {
  /// The connection could not be opened; nothing was sent.
  ConnectFailed,
  /// The upstream rejected the request because it accepts no more work; it did
  /// not run the request.
  TurnedAway,
  /// Another upstream, or another version, responded at the address; it did not
  /// run the request.
  WrongInstance,
  /// The first byte did not arrive in time.
  FirstByteTimeout,
  /// The response stalled while the connection stayed open.
  Silent,
  /// The connection closed before the response was complete.
  Truncated,
  /// The response belongs to another request.
  Crossed,
  /// The response could not be parsed or verified.
  Malformed,
  /// The response exceeded the size limit.
  TooLarge,
  /// The upstream reported an internal error.
  Failed,
  /// The caller disconnected or read too slowly.
  CallerGone,
  /// The time limit for the final response was reached.
  TimeLimit,
  /// This process has no memory to pass the response on.
  NoMemory,
};

/// Returns the stable code used in counters and logs.
std::string_view toString(attempt_error Error);
const std::vector<attempt_error> &allAttemptErrors();

/// True if the upstream is known not to have run the request.
constexpr bool definitelyNotRun(attempt_error Error) {
  return Error == attempt_error::ConnectFailed ||
         Error == attempt_error::TurnedAway ||
         Error == attempt_error::WrongInstance;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ATTEMPTERROR_H
