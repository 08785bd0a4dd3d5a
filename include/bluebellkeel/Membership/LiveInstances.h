#ifndef BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H
#define BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Membership/LivenessReport.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// The other instances, and which of them have spoken lately, to this one or
/// to a peer that said so. An instance that was only heard of counts as known,
/// not as alive.
class live_instances {
public:
  /// Silence after which an instance counts as dead: three rounds of digests
  /// and the delay of the fourth.
  static constexpr milliseconds SilenceLimit{2400};
  /// Silence after which an instance no longer counts among the senders.
  static constexpr milliseconds SenderTimeout{20000};
  /// Silence after which an instance that is not registered is forgotten.
  static constexpr milliseconds ForgetAfter{60000};

  explicit live_instances(const time_source &Clock) : Clock(Clock) {}

  /// The instance stands in the platform's log.
  void recordRegistration(const instance_record &Record);
  /// Somebody else named this instance.
  void recordMention(const instance_record &Record);
  /// The instance itself spoke.
  void recordContact(const instance_record &Record);
  /// A peer heard the instance so long ago.
  void recordReport(const liveness_report &LivenessReport);
  /// The instance no longer stands in the log.
  void drop(const instance_id &Id);

  /// All that may be asked.
  std::vector<instance_record> known();
  /// Those that spoke lately, the ones that are leaving among them.
  std::vector<instance_record> alive();
  /// Some of them, at most so many.
  std::vector<instance_record> someAlive(std::size_t MaxCount);
  /// Those that may still send to upstreams, whether or not they were heard.
  std::vector<instance_id> senders();
  /// When each live instance of \p Centre was last heard.
  std::vector<liveness_report> livenessReports(const data_centre_id &Centre);

private:
  struct entry {
    instance_record Record;
    monotonic_time LearntAt;
    monotonic_time HeardAt;
    bool Heard = false;
    bool Registered = false;
  };

  using entry_map = std::map<instance_id, entry>;

  static bool silentFor(const entry &Entry, monotonic_time Now,
                        milliseconds Limit) {
    return !Entry.Heard || Now - Entry.HeardAt > Limit;
  }

  const time_source &Clock;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H
