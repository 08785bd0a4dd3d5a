#ifndef BLUEBELLKEEL_STARTUP_STARTUPLIMITS_H
#define BLUEBELLKEEL_STARTUP_STARTUPLIMITS_H

#include "bluebellkeel/Core/Time.h"
#include <cstddef>

namespace bluebellkeel {

/// Bounds and times of one process. Plain data that the reader fills in; used
/// as a constant from then on.
struct startup_limits {
  std::size_t Threads = 4;
  std::size_t Connections = 4000;
  std::size_t BodyBytes = 1024UL * 1024;
  /// How long a caller may take to read one piece of its answer.
  milliseconds CallerWrite{10000};
  milliseconds Connect{1000};
  milliseconds FirstByte{30000};
  milliseconds BetweenTokens{10000};
  /// How long a request waits for room at an upstream.
  milliseconds AdmissionWait{5000};
  milliseconds ClaimTimeout{2000};
  /// Least time between two appends to one stream of the log.
  milliseconds AppendInterval{50};
  seconds TicketLifetime{600};
  seconds SnapshotInterval{600};
  /// How long a shutdown waits for the requests under way.
  seconds Drain{120};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_STARTUPLIMITS_H
