#ifndef UNITTESTS_GATEWAY_RECORDINGLOG_H
#define UNITTESTS_GATEWAY_RECORDINGLOG_H

#include "bluebellkeel/Core/EventLog.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// A log that keeps its lines.
class recording_log final : public event_log {
public:
  void write(const event_line &Line) override { Lines.push_back(Line.text()); }

  std::vector<std::string> Lines;
};

} // namespace bluebellkeel

#endif // UNITTESTS_GATEWAY_RECORDINGLOG_H
