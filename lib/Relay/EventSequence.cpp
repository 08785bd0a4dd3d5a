#include "bluebellkeel/Relay/EventSequence.h"

using namespace bluebellkeel;

contiguous_events
event_sequence::takeContiguous(const std::vector<stream_event> &Events) {
  std::string Bytes;
  for (const auto &Event : Events) {
    const auto &Number = Event.number();
    if (Number && Last && *Number <= *Last)
      continue;
    if (Number && Last && *Number > *Last + 1)
      return {std::move(Bytes), /*Gap=*/true};
    if (Number)
      Last = Number;
    Bytes += Event.bytes();
  }
  return {std::move(Bytes), /*Gap=*/false};
}
