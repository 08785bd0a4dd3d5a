#ifndef BLUEBELLKEEL_RELAY_EVENTSPLITTER_H
#define BLUEBELLKEEL_RELAY_EVENTSPLITTER_H

#include "bluebellkeel/Relay/StreamEvent.h"
#include <string>
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Cuts a stream of server-sent events into whole events, so that a stream
/// that breaks off can go on between two of them.
class event_splitter {
public:
  /// Takes the next bytes; returns the events that are whole by now.
  std::vector<stream_event> feed(std::string_view Bytes);
  /// What came after the last whole event.
  const std::string &rest() const { return Rest; }
  void clear() { Rest.clear(); }

private:
  std::string Rest;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_EVENTSPLITTER_H
