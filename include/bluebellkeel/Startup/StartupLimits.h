#ifndef BLUEBELLKEEL_STARTUP_STARTUPLIMITS_H
#define BLUEBELLKEEL_STARTUP_STARTUPLIMITS_H

#include "bluebellkeel/Core/Time.h"
#include <cstddef>

namespace bluebellkeel {

/// Limits and timeouts of one process. Plain data that the reader fills in;
/// constant from then on.
struct startup_limits {
  std::size_t Threads = 4;
  std::size_t Connections = 4000;
  std::size_t BodyBytes = 1024UL * 1024;
  /// Longest time that a caller may take to read one piece of its response.
  milliseconds CallerWrite{10000};
  milliseconds Connect{1000};
  milliseconds FirstByte{30000};
  milliseconds BetweenTokens{10000};
  /// Longest time that a request waits for a free slot at an upstream.
  milliseconds AdmissionWait{5000};
  /// Longest time that a claim waits for the log.
  milliseconds ClaimTimeout{2000};
  /// Minimum time between two appends to one stream of the log.
  milliseconds AppendInterval{50};
  seconds TicketLifetime{600};
  seconds SnapshotInterval{600};
  /// Longest time that a shutdown waits for requests in progress.
  seconds Drain{120};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_STARTUPLIMITS_H
