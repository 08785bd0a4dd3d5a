#ifndef BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H
#define BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/LogPosition.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/JournalError.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include "bluebellkeel/Journal/PollResult.h"
#include <optional>

namespace bluebellkeel {

/// Tracks whether a topic of the log can be read, and logs each change. Used by
/// one coroutine.
class topic_availability_monitor {
public:
  topic_availability_monitor(keyed_topic Topic, const time_source &Clock,
                             event_log &Log)
      : Topic(Topic), Clock(Clock), Log(Log) {}

  /// Records a successful read, after which the view reaches \p End. Returns
  /// true if the topic was lost before.
  bool succeeded(log_position End);
  /// Logs that all keys were read, after the view had reached \p Known. This
  /// happens at the start and where the log does not have what follows \p
  /// Known.
  void allKeysRead(log_position Known, const poll_result &Read);
  /// Logs that the log was restored from a copy: the view reached \p Known, and
  /// now follows a later era.
  void restored(const log_position &Known, const log_position &End);
  /// Records a failed read that was requested at \p RequestedAt. The view
  /// reaches \p End and was believed to be complete \p Age ago; empty if never.
  void failed(journal_error Error, monotonic_time RequestedAt, log_position End,
              std::optional<milliseconds> Age);
  bool lost() const { return LostAt.has_value(); }

private:
  std::int64_t millisSince(monotonic_time Then) const;

  keyed_topic Topic;
  const time_source &Clock;
  event_log &Log;
  std::optional<monotonic_time> LostAt;
  std::int64_t FailedReads = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_TOPICAVAILABILITYMONITOR_H
