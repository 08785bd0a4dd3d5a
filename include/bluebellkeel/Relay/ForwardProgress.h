#ifndef BLUEBELLKEEL_RELAY_FORWARDPROGRESS_H
#define BLUEBELLKEEL_RELAY_FORWARDPROGRESS_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/FirstTokenEstimate.h"
#include <optional>
#include <set>

namespace bluebellkeel {

/// Progress of one call across its attempts.
struct forward_progress {
  std::set<upstream_id> Tried;
  /// Number of attempts that reached an upstream, and how many of them may have
  /// run.
  unsigned Arrivals = 0;
  unsigned Runs = 0;
  /// Number of failed connections.
  unsigned ConnectFailures = 0;
  /// True once the response head has been sent to the caller.
  bool ResponseStarted = false;
  /// Start of the latest attempt.
  monotonic_time SentAt;
  /// When its first token was expected; empty if the upstream does not report
  /// its speed.
  std::optional<first_token_estimate> Expected;
  /// True if the latest attempt received a response head.
  bool HeadReceived = false;
  /// True once an upstream has begun the request.
  bool Begun = false;
  /// True if the latest attempt received some of a body that is no stream.
  bool BodyStarted = false;
  /// Time of the latest complete event of a stream, or of its start, and the
  /// longest pause between two events for the latest attempt.
  monotonic_time LastEventAt;
  milliseconds IdleLimit{0};
  /// Number of complete events of the latest attempt, and time of the first.
  std::size_t Events = 0;
  monotonic_time FirstEventAt;
  /// Time from the call's arrival to the latest upstream response head that
  /// came before ResponseStarted.
  std::optional<milliseconds> FirstByte;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDPROGRESS_H
