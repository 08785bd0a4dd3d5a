#ifndef BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H
#define BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Membership/LivenessReport.h"
#include "bluebellkeel/Membership/SenderGroup.h"
#include <atomic>
#include <map>
#include <vector>

namespace bluebellkeel {

/// The other instances and the time of the last contact with each, direct or
/// reported by a peer. An instance that was only mentioned counts as known, not
/// as alive. Thread-safe.
class live_instances {
public:
  /// Silence after which an instance counts as dead: three rounds of digests
  /// and the delay of the fourth.
  static constexpr milliseconds SilenceLimit{2400};
  /// Silence after which an instance no longer counts among the senders.
  static constexpr milliseconds SenderTimeout{20000};
  /// Silence after which an instance that is not registered is forgotten.
  static constexpr milliseconds ForgetAfter{60000};

  explicit live_instances(const time_source &Clock)
      : Clock(Clock), CreatedAt(Clock.monotonicNow()) {}

  /// Records that the instance is registered in the platform's log.
  void recordRegistration(const instance_record &Record);
  /// Records that all registrations in the log have been read once.
  void noteRegistrationsRead() { RegistrationsRead = true; }
  /// Records that a peer or the log mentioned the instance. Replaces the stored
  /// record only if the instance has been silent for SilenceLimit.
  void recordMention(const instance_record &Record);
  /// Records a message from the instance itself.
  void recordContact(const instance_record &Record);
  /// Records a peer's report of its last contact with the instance and of the
  /// instance's state. Ignored for unknown instances and when a later contact
  /// is known.
  void recordReport(const liveness_report &LivenessReport);
  /// Records that the instance is no longer registered in the log. It is
  /// forgotten once it has been silent for ForgetAfter.
  void noteUnregistered(const instance_id &Id);

  /// Returns all known instances. Forgets instances that are not registered and
  /// were neither seen nor mentioned for ForgetAfter.
  std::vector<instance_record> knownInstances();
  /// Returns the instances seen within SilenceLimit, sorted. Includes instances
  /// that are leaving.
  std::vector<instance_record> alive();
  bool anyAlive();
  /// Returns at most \p MaxCount of the live instances, the next ones at each
  /// call.
  std::vector<instance_record> aliveInTurn(std::size_t MaxCount);
  /// Returns the instances that may still send requests to upstreams: those
  /// seen or mentioned within SenderTimeout, and those registered but never
  /// seen.
  std::vector<instance_id> senders();
  /// Returns the other instances with which this one shares the rate limits of
  /// upstreams: those seen or mentioned within SenderTimeout. If these are a
  /// minority of the known ones, this instance may be cut off, while the others
  /// go on sending; then all known ones count.
  sender_group rateSharers();
  /// Returns how long ago each live instance of \p Centre was last seen.
  std::vector<liveness_report> livenessReports(const data_centre_id &Centre);

private:
  struct entry {
    instance_record Record;
    monotonic_time LastMentionedAt;
    monotonic_time LastSeenAt;
    bool Seen = false;
    bool Registered = false;
  };

  using entry_map = std::map<instance_id, entry>;

  static bool silentFor(const entry &Entry, monotonic_time Now,
                        milliseconds Limit) {
    return !Entry.Seen || Now - Entry.LastSeenAt > Limit;
  }

  std::size_t countAlive(monotonic_time Now);

  const time_source &Clock;
  const monotonic_time CreatedAt;
  std::atomic<bool> RegistrationsRead{false};
  std::atomic<std::size_t> NextInTurn{0};
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_LIVEINSTANCES_H
