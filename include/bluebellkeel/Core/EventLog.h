#ifndef BLUEBELLKEEL_CORE_EVENTLOG_H
#define BLUEBELLKEEL_CORE_EVENTLOG_H

#include "bluebellkeel/Core/EventLine.h"

namespace bluebellkeel {

/// Sink for the lines of the structured log. write() never blocks; lines that
/// arrive faster than they can be written are dropped and counted.
class event_log {
public:
  virtual ~event_log() = default;

  virtual void write(const event_line &Line) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_EVENTLOG_H
