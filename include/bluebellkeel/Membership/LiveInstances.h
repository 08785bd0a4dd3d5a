#ifndef BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H
#define BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// The other instances, and which of them have spoken lately. An instance that
/// was only heard of counts as known, not as alive.
class live_instances {
public:
  /// Silence after which an instance counts as dead: two lost rounds and the
  /// delay of the third.
  static constexpr milliseconds SilenceLimit{2200};
  /// Silence after which an instance is no longer asked.
  static constexpr milliseconds ForgetAfter{60000};

  explicit live_instances(const time_source &Clock) : Clock(Clock) {}

  /// Somebody else named this instance.
  void learn(const instance_record &Record);
  /// The instance itself spoke.
  void hear(const instance_record &Record);
  /// The instance could not be asked.
  void drop(const instance_id &Id);

  /// All that should be asked.
  std::vector<instance_record> known();
  /// Those that spoke lately, the ones that are leaving among them.
  std::vector<instance_record> alive();

private:
  struct entry {
    instance_record Record;
    monotonic_time LearntAt;
    monotonic_time HeardAt;
    bool Heard = false;
  };

  using entry_map = std::map<instance_id, entry>;

  const time_source &Clock;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H
