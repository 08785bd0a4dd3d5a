#ifndef BLUEBELLKEEL_UPSTREAM_REGISTRYUPDATER_H
#define BLUEBELLKEEL_UPSTREAM_REGISTRYUPDATER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Upstream/UpstreamRegistry.h"
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Keeps the roster in step with what registers and lapses. Registrations that
/// lapsed while the log was away come back soon after its return, so what is
/// missing then is taken away only after a while.
class registry_updater {
public:
  /// How long after the log's return a missing upstream may still register.
  static constexpr milliseconds ReconnectGrace{2000};

  registry_updater(upstream_registry &Registry, const time_source &Clock)
      : Registry(Registry), Clock(Clock) {}

  bool listed(const upstream_listing &Listing);
  void unlisted(const upstream_id &Id);
  /// The log is asked again after it did not answer; if it does, what it says
  /// is missing may still come back.
  void logReconnecting();
  /// It did answer.
  void logReconnected() { logReconnecting(); }
  /// It did not; what was missing in the meantime is gone.
  void logUnavailable();
  /// Takes away what is still missing; returns it.
  std::vector<upstream_id> removeExpired();

private:
  upstream_registry &Registry;
  const time_source &Clock;
  absl::Mutex Mutex;
  std::optional<monotonic_time> ReconnectedAt ABSL_GUARDED_BY(Mutex);
  std::set<upstream_id> Missing ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_REGISTRYUPDATER_H
