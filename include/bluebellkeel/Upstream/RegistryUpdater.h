#ifndef BLUEBELLKEEL_UPSTREAM_REGISTRYUPDATER_H
#define BLUEBELLKEEL_UPSTREAM_REGISTRYUPDATER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Upstream/UpstreamRegistry.h"
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Applies registrations and their expiry to the registry. Registrations that
/// expired while the log was unavailable are renewed soon after it returns, so
/// an upstream that is missing then is removed only after ReconnectGrace.
class registry_updater {
public:
  /// Time after the log's return in which a missing upstream may register
  /// again.
  static constexpr milliseconds ReconnectGrace{2000};

  /// True if registrations that are renewed every \p RenewInterval may have
  /// expired while the log did not respond. They expire after three intervals
  /// without a renewal, at most one of which lies before the outage.
  /// \param OutageTime longest time that the log may have been unavailable;
  /// empty if it never responded.
  static bool mayHaveExpired(std::optional<milliseconds> OutageTime,
                             milliseconds RenewInterval) {
    return !OutageTime || *OutageTime >= 2 * RenewInterval;
  }

  registry_updater(upstream_registry &Registry, const time_source &Clock)
      : Registry(Registry), Clock(Clock) {}

  /// Returns false if the registry ignores the listing.
  bool applyListing(const upstream_listing &Listing);
  /// Removes the upstream at once or, during the grace period, by
  /// removeExpired().
  void applyRemoval(const upstream_id &Id);
  /// Starts the grace period: the log is read again after it did not respond,
  /// and upstreams that are missing from it may still register.
  void logReconnecting();
  /// Restarts the grace period: the log responded.
  void logReconnected() { logReconnecting(); }
  /// Ends the grace period: the log did not respond, and upstreams that are
  /// missing are gone.
  void logUnavailable();
  /// Removes the upstreams that are still missing after the grace period;
  /// returns their ids.
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
