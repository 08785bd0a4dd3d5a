#ifndef BLUEBELLKEEL_RELAY_EVENTSPLITTER_H
#define BLUEBELLKEEL_RELAY_EVENTSPLITTER_H

#include "bluebellkeel/Relay/StreamEvent.h"
#include <string>
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Splits a byte stream of server-sent events into complete events, so that a
/// broken stream can resume between two events.
class event_splitter {
public:
  /// Appends \p Bytes and returns the events that they complete.
  std::vector<stream_event> feed(std::string_view Bytes);
  /// Bytes after the last complete event.
  const std::string &remainder() const { return Remainder; }
  void clear() { Remainder.clear(); }

private:
  std::string Remainder;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_EVENTSPLITTER_H
