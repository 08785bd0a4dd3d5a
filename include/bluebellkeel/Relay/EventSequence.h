#ifndef BLUEBELLKEEL_RELAY_EVENTSEQUENCE_H
#define BLUEBELLKEEL_RELAY_EVENTSEQUENCE_H

#include "bluebellkeel/Relay/ContiguousEvents.h"
#include "bluebellkeel/Relay/StreamEvent.h"
#include <vector>

namespace bluebellkeel {

/// Keeps the events of a stream in order over several sendings: the caller gets
/// none of them twice, and none is left out.
class event_sequence {
public:
  /// \param Last the event that the caller has already.
  explicit event_sequence(std::optional<std::uint64_t> Last) : Last(Last) {}

  /// The events of \p Events that are next; those up to a gap if there is one.
  contiguous_events takeContiguous(const std::vector<stream_event> &Events);
  /// The latest event that was passed on.
  const std::optional<std::uint64_t> &last() const { return Last; }

private:
  std::optional<std::uint64_t> Last;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_EVENTSEQUENCE_H
