#ifndef BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H
#define BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/JournalError.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <optional>

namespace bluebellkeel {

/// Notices and logs when a topic of the log is lost and regained. Used by one
/// coroutine.
class topic_availability_monitor {
public:
  topic_availability_monitor(keyed_topic Topic, const time_source &Clock,
                             event_log &Log)
      : Topic(Topic), Clock(Clock), Log(Log) {}

  /// True when the log had been lost before.
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
