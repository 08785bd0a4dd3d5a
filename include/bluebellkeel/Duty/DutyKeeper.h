#ifndef BLUEBELLKEEL_DUTY_DUTYKEEPER_H
#define BLUEBELLKEEL_DUTY_DUTYKEEPER_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Duty/DutyNews.h"
#include "bluebellkeel/Duty/DutyPlatform.h"
#include "bluebellkeel/Duty/DutyStore.h"
#include "bluebellkeel/Duty/DutyTimes.h"
#include "bluebellkeel/Duty/UsageCollector.h"
#include "bluebellkeel/Scale/ScalePlanner.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Takes the duties of one instance at a time when they are due and nobody does
/// them, and does them as long as no other instance has taken them.
///
/// Each decision is recorded before it takes effect, by an append that succeeds
/// only if nobody else has written since; so a successful append proves that
/// the term went on until it began. The holder calls the platform only within
/// half a lease after that, and a successor only a whole lease after it took
/// its term. Used by one coroutine.
class duty_keeper {
public:
  /// Time after the end of a window in which the counts of all instances
  /// arrive.
  static constexpr milliseconds CollectTime{1500};
  /// Time after that in which news of a record arrives.
  static constexpr milliseconds NewsTime{2000};
  /// Additional time before each further instance takes over.
  static constexpr milliseconds TakeoverDelay{1500};
  /// Time after which a failed call to the log is repeated.
  static constexpr milliseconds RetryDelay{400};

  duty_keeper(instance_id Self, duty_times Times, const time_source &Clock,
              usage_collector &Usage, duty_news &News, duty_store &Store,
              duty_platform &Platform, event_log &Log);

  /// Instances with a higher weight take the duties earlier.
  static std::uint64_t rankWeight(const instance_id &Instance);

  /// Does what is due now.
  ///
  /// \param Live the instances that may hold the duties, including this one.
  void run(const std::vector<instance_id> &Live);
  /// Has the planner decide and sends the orders that are due, if this instance
  /// holds the duties.
  void sendOrders(scale_planner &Planner);
  /// Gives up the duties, so that another instance takes them at once.
  void release();

private:
  struct term {
    std::uint64_t Token = 0;
    monotonic_time UsableFrom;
  };

  bool dueForTakeover(const std::vector<instance_id> &Live) const;
  std::size_t rankIn(const std::vector<instance_id> &Live) const;
  void takeTerm();
  void beginTerm(const duty_record &NewRecord, const log_position &NewEnd);
  /// Returns false if the term has ended or the log does not respond.
  bool refresh();
  bool record(const duty_record &NewRecord);
  std::uint64_t firstUnrecorded(std::uint64_t Complete) const;
  void recordReports();
  void sendReports();
  bool mayCall() const;
  /// Returns mayCall(), after it has proven once more that the term goes on if
  /// that is needed.
  bool proveTerm();
  void stepDown(std::string_view Why);
  /// Returns the newest window whose counts are complete.
  std::uint64_t completeWindow() const;
  bool overdue(std::uint64_t Window) const;

  const instance_id Self;
  const duty_times Times;
  const time_source &Clock;
  usage_collector &Usage;
  duty_news &News;
  duty_store &Store;
  duty_platform &Platform;
  event_log &Log;
  const monotonic_time StartedAt;
  std::optional<term> Term;
  /// Token of the term in which the planner's orders were sent.
  std::uint64_t OrdersToken = 0;
  duty_record Record;
  log_position End;
  /// False if an append had no answer, so that the record may have changed.
  bool RecordKnown = false;
  /// Start of the last successful append.
  monotonic_time ProvenAt;
  monotonic_time RetryAt;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYKEEPER_H
