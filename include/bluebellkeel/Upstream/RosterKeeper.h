#ifndef BLUEBELLKEEL_UPSTREAM_ROSTERKEEPER_H
#define BLUEBELLKEEL_UPSTREAM_ROSTERKEEPER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Upstream/UpstreamRoster.h"
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Keeps the roster in step with what registers and lapses. Registrations that
/// lapsed while the log was away come back soon after its return, so what is
/// missing then is taken away only after a while.
class roster_keeper {
public:
  /// How long after the log's return a missing upstream may still register.
  static constexpr milliseconds ReturnGrace{2000};

  roster_keeper(upstream_roster &Roster, const time_source &Clock)
      : Roster(Roster), Clock(Clock) {}

  bool listed(const upstream_listing &Listing);
  void unlisted(const upstream_id &Id);
  /// The log is asked again after it did not answer; if it does, what it says
  /// is missing may still come back.
  void logReturning();
  /// It did answer.
  void logReturned() { logReturning(); }
  /// It did not; what was missing in the meantime is gone.
  void logAway();
  /// Takes away what is still missing; returns it.
  std::vector<upstream_id> sweep();

private:
  upstream_roster &Roster;
  const time_source &Clock;
  absl::Mutex Mutex;
  std::optional<monotonic_time> ReturnedAt ABSL_GUARDED_BY(Mutex);
  std::set<upstream_id> Missing ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_ROSTERKEEPER_H
