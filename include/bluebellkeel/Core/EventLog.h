#ifndef BLUEBELLKEEL_CORE_EVENTLOG_H
#define BLUEBELLKEEL_CORE_EVENTLOG_H

#include "bluebellkeel/Core/EventLine.h"

namespace bluebellkeel {

/// Takes the lines of the structured log. Never makes its caller wait; lines
/// that come too fast are counted and left out.
class event_log {
public:
  virtual ~event_log() = default;

  virtual void write(const event_line &Line) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_EVENTLOG_H
