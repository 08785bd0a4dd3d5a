#include "bluebellkeel/Upstream/RegistryUpdater.h"

using namespace bluebellkeel;

bool registry_updater::applyListing(const upstream_listing &Listing) {
  bool Taken = Registry.insertIfNewer(Listing);
  absl::MutexLock Lock(&Mutex);
  if (Taken)
    Missing.erase(Listing.id());
  return Taken;
}

void registry_updater::applyRemoval(const upstream_id &Id) {
  monotonic_time Now = Clock.monotonicNow();
  {
    absl::MutexLock Lock(&Mutex);
    if (ReconnectedAt && Now - *ReconnectedAt < ReconnectGrace) {
      Missing.insert(Id);
      return;
    }
  }
  Registry.remove(Id);
}

void registry_updater::logReconnecting() {
  absl::MutexLock Lock(&Mutex);
  ReconnectedAt = Clock.monotonicNow();
}

void registry_updater::logUnavailable() {
  absl::MutexLock Lock(&Mutex);
  ReconnectedAt.reset();
}

std::vector<upstream_id> registry_updater::removeExpired() {
  monotonic_time Now = Clock.monotonicNow();
  std::set<upstream_id> Expired;
  {
    absl::MutexLock Lock(&Mutex);
    if (ReconnectedAt && Now - *ReconnectedAt < ReconnectGrace)
      return {};
    Expired.swap(Missing);
  }
  for (const auto &Id : Expired)
    Registry.remove(Id);
  return std::vector<upstream_id>(Expired.begin(), Expired.end());
}
