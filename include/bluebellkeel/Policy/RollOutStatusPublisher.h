#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPUBLISHER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPUBLISHER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/RollOutStatusLog.h"
#include "bluebellkeel/Policy/RollOutTracker.h"
#include <map>

namespace bluebellkeel {

/// Tells the operators how roll-outs stand. One instance does it at once, the
/// others step in one after the other while it stays undone. The log's
/// conditional append keeps all of them from writing over each other. Used by
/// one thread or coroutine at a time.
class roll_out_status_publisher {
public:
  /// How much longer each further instance waits before it steps in.
  static constexpr milliseconds TakeoverDelay{1500};

  roll_out_status_publisher(instance_id Self, const time_source &Clock,
                            roll_out_tracker &Tracker, roll_out_status_log &Log)
      : Self(std::move(Self)), Clock(Clock), Tracker(Tracker), Log(Log) {}

  /// Does what is due; returns the statuses that were written.
  std::vector<roll_out_status> run(const std::vector<instance_id> &Instances);

private:
  std::size_t rankOf(const service_id &Service,
                     const std::vector<instance_id> &Instances) const;
  bool due(const roll_out_status &Status,
           const std::vector<instance_id> &Instances);

  instance_id Self;
  const time_source &Clock;
  roll_out_tracker &Tracker;
  roll_out_status_log &Log;
  std::map<roll_out_status, monotonic_time> Since;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTATUSPUBLISHER_H
