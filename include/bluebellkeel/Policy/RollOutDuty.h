#ifndef BLUEBELLKEEL_POLICY_ROLLOUTDUTY_H
#define BLUEBELLKEEL_POLICY_ROLLOUTDUTY_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/RollOutBook.h"
#include "bluebellkeel/Policy/RollOutStatusLog.h"
#include <map>

namespace bluebellkeel {

/// Tells the operators how roll-outs stand. One instance does it at once, the
/// others step in one after the other while it stays undone. The log's
/// conditional append keeps all of them from writing over each other. Used by
/// one thread or coroutine at a time.
class roll_out_duty {
public:
  /// How much longer each further instance waits before it steps in.
  static constexpr milliseconds StepIn{1500};

  roll_out_duty(instance_id Self, const time_source &Clock, roll_out_book &Book,
                roll_out_status_log &Log)
      : Self(std::move(Self)), Clock(Clock), Book(Book), Log(Log) {}

  /// Does what is due; returns the statuses that were written.
  std::vector<roll_out_status> run(const std::vector<instance_id> &Instances);

private:
  std::size_t rankOf(const service_id &Service,
                     const std::vector<instance_id> &Instances) const;
  bool due(const roll_out_status &Status,
           const std::vector<instance_id> &Instances);

  instance_id Self;
  const time_source &Clock;
  roll_out_book &Book;
  roll_out_status_log &Log;
  std::map<roll_out_status, monotonic_time> Since;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTDUTY_H
