#ifndef BLUEBELLKEEL_MEMBERSHIP_CLOSEDDATACENTRES_H
#define BLUEBELLKEEL_MEMBERSHIP_CLOSEDDATACENTRES_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/TimeSource.h"
#include <map>
#include <set>

namespace bluebellkeel {

/// The data centres whose upstreams get no new work because operators closed
/// them. Safe to use from any thread.
class closed_data_centres {
public:
  /// Time for which a reopened data centre counts as reopened recently: the
  /// time of two registrations of an upstream, since upstreams may be cold
  /// without having reported this yet.
  static constexpr milliseconds ReopenGracePeriod{2600};

  explicit closed_data_centres(const time_source &Clock) : Clock(Clock) {}

  void replace(std::set<data_centre_id> NowClosed);
  bool closed(const data_centre_id &Centre) const;
  /// True if \p Centre was reopened less than ReopenGracePeriod ago.
  bool reopenedRecently(const data_centre_id &Centre) const;
  std::set<data_centre_id> all() const;

private:
  const time_source &Clock;
  mutable absl::Mutex Mutex;
  std::set<data_centre_id> Closed ABSL_GUARDED_BY(Mutex);
  std::map<data_centre_id, monotonic_time> Reopened ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_CLOSEDDATACENTRES_H
