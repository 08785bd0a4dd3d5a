#ifndef BLUEBELLKEEL_RELAY_FORWARDPROGRESS_H
#define BLUEBELLKEEL_RELAY_FORWARDPROGRESS_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <optional>
#include <set>

namespace bluebellkeel {

/// How far one call has come.
struct forward_progress {
  std::set<upstream_id> Tried;
  /// Sendings that reached an upstream, and those among them that may have
  /// run.
  unsigned Arrivals = 0;
  unsigned Runs = 0;
  /// Connections that were not made.
  unsigned ConnectFailures = 0;
  /// The caller has the head of the answer.
  bool ResponseStarted = false;
  /// When the latest sending began.
  monotonic_time SentAt;
  /// Time from the arrival to the head of the answer that counts.
  std::optional<milliseconds> FirstByte;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDPROGRESS_H
