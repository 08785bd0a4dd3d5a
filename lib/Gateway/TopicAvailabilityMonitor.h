#ifndef BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H
#define BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/JournalError.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <optional>

namespace bluebellkeel {

/// Tracks whether a topic of the log can be read, and logs each change. Used by
/// one coroutine.
class topic_availability_monitor {
public:
  topic_availability_monitor(keyed_topic Topic, const time_source &Clock,
                             event_log &Log)
      : Topic(Topic), Clock(Clock), Log(Log) {}

  /// Records a successful read. Returns true if the topic was lost before.
  bool succeeded();
  void failed(journal_error Error);
  bool lost() const { return LostAt.has_value(); }

private:
  keyed_topic Topic;
  const time_source &Clock;
  event_log &Log;
  std::optional<monotonic_time> LostAt;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H
