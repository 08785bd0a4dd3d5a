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
      Missing.emplace(Id, *ReturnedAt + ReturnGrace);
      return;
    }
  }
  Roster.remove(Id);
}

void roster_keeper::logReturned() {
  absl::MutexLock Lock(&Mutex);
  ReturnedAt = Clock.monotonicNow();
}

std::vector<upstream_id> roster_keeper::sweep() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<upstream_id> Gone;
  {
    absl::MutexLock Lock(&Mutex);
    for (auto It = Missing.begin(); It != Missing.end();) {
      if (Now < It->second) {
        ++It;
        continue;
      }
      Gone.push_back(It->first);
      It = Missing.erase(It);
    }
  }
  for (const auto &Id : Gone)
    Roster.remove(Id);
  return Gone;
}
