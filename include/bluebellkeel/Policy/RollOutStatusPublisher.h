#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPUBLISHER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPUBLISHER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/RollOutStatusLog.h"
#include "bluebellkeel/Policy/RollOutTracker.h"
#include <map>

namespace bluebellkeel {

/// Publishes the stages of roll-outs to the operators. One instance publishes
/// at once; the others take over one after another while the status stays
/// unpublished. The log's conditional append rejects concurrent writes. Used by
/// one thread or coroutine at a time.
class roll_out_status_publisher {
public:
  /// Additional delay of each further instance before it takes over.
  static constexpr milliseconds TakeoverDelay{1500};

  roll_out_status_publisher(instance_id Self, const time_source &Clock,
                            roll_out_tracker &Tracker, roll_out_status_log &Log)
      : Self(std::move(Self)), Clock(Clock), Tracker(Tracker), Log(Log) {}

  /// Publishes the statuses that are due; returns those that were written.
  std::vector<roll_out_status> run(const std::vector<instance_id> &Instances);

private:
  std::size_t rankOf(const service_id &Service,
                     const std::vector<instance_id> &Instances) const;
  void forgetPublished(const std::vector<roll_out_status> &Unpublished);
  bool due(const roll_out_status &Status,
           const std::vector<instance_id> &Instances);

  instance_id Self;
  const time_source &Clock;
  roll_out_tracker &Tracker;
  roll_out_status_log &Log;
  std::map<roll_out_status, monotonic_time> FirstSeenAt;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPUBLISHER_H
