#include "bluebellkeel/Upstream/RosterKeeper.h"

using namespace bluebellkeel;

bool roster_keeper::listed(const upstream_listing &Listing) {
  bool Taken = Roster.learn(Listing);
  absl::MutexLock Lock(&Mutex);
  if (Taken)
    Missing.erase(Listing.id());
  return Taken;
}

void roster_keeper::unlisted(const upstream_id &Id) {
  monotonic_time Now = Clock.monotonicNow();
  {
    absl::MutexLock Lock(&Mutex);
    if (ReturnedAt && Now - *ReturnedAt < ReturnGrace) {
      Missing.insert(Id);
      return;
    }
  }
  Roster.remove(Id);
}

void roster_keeper::logReturning() {
  absl::MutexLock Lock(&Mutex);
  ReturnedAt = Clock.monotonicNow();
}

void roster_keeper::logAway() {
  absl::MutexLock Lock(&Mutex);
  ReturnedAt.reset();
}

std::vector<upstream_id> roster_keeper::sweep() {
  monotonic_time Now = Clock.monotonicNow();
  std::set<upstream_id> Gone;
  {
    absl::MutexLock Lock(&Mutex);
    if (ReturnedAt && Now - *ReturnedAt < ReturnGrace)
      return {};
    Gone.swap(Missing);
  }
  for (const auto &Id : Gone)
    Roster.remove(Id);
  return std::vector<upstream_id>(Gone.begin(), Gone.end());
}
