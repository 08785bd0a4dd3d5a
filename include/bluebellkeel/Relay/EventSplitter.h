#ifndef BLUEBELLKEEL_RELAY_EVENTSPLITTER_H
#define BLUEBELLKEEL_RELAY_EVENTSPLITTER_H

#include "bluebellkeel/Relay/StreamEvent.h"
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Splits a byte stream of server-sent events into complete events, so that a
/// broken stream can resume between two events.
class event_splitter {
public:
  /// Largest event, in bytes. An upstream in trouble may send bytes without end
  /// that never complete an event.
  static constexpr std::size_t MaxEventBytes = 256UL * 1024;

  /// Appends \p Bytes and returns the events that they complete.
  std::vector<stream_event> feed(std::string_view Bytes);
  /// Bytes after the last complete event.
  const std::string &remainder() const { return Remainder; }
  /// True if the bytes so far end in the middle of an event. Empty lines alone
  /// are no event.
  bool insideEvent() const {
    return Remainder.find_first_not_of("\r\n") != std::string::npos;
  }
  /// True if the incomplete event is larger than MaxEventBytes.
  bool overflowed() const { return Remainder.size() > MaxEventBytes; }
  void clear() {
    Remainder.clear();
    ScannedBytes = 0;
  }

private:
  std::string Remainder;
  /// Number of bytes at the start of Remainder in which no event ends.
  std::size_t ScannedBytes = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_EVENTSPLITTER_H
