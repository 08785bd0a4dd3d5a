#ifndef BLUEBELLKEEL_RELAY_EVENTSEQUENCE_H
#define BLUEBELLKEEL_RELAY_EVENTSEQUENCE_H

#include "bluebellkeel/Relay/ContiguousEvents.h"
#include "bluebellkeel/Relay/StreamEvent.h"
#include <vector>

namespace bluebellkeel {

/// Keeps the events of a stream in order across several attempts: the caller
/// receives no event twice, and none is skipped.
class event_sequence {
public:
  /// \param Last number of the last event that the caller already has; empty if
  /// it has none.
  explicit event_sequence(std::optional<std::uint64_t> Last) : Last(Last) {}

  /// Returns the events of \p Events that the caller does not have yet, up to
  /// the first gap. Events without a number are always included.
  contiguous_events takeContiguous(const std::vector<stream_event> &Events);
  /// Number of the latest event that the caller has; empty if there is none.
  const std::optional<std::uint64_t> &last() const { return Last; }

private:
  std::optional<std::uint64_t> Last;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_EVENTSEQUENCE_H
