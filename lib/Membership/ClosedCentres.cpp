#include "bluebellkeel/Membership/ClosedCentres.h"

using namespace bluebellkeel;

void closed_centres::replace(std::set<data_centre_id> NowClosed) {
  monotonic_time Now = Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  for (const auto &Centre : Closed) {
    if (NowClosed.count(Centre) == 0)
      Reopened[Centre] = Now;
  }
  Closed = std::move(NowClosed);
}

bool closed_centres::closed(const data_centre_id &Centre) const {
  absl::MutexLock Lock(&Mutex);
  return Closed.count(Centre) > 0;
}

bool closed_centres::reopenedLately(const data_centre_id &Centre) const {
  monotonic_time Now = Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  auto Found = Reopened.find(Centre);
  return Found != Reopened.end() && Now - Found->second < UnsureAfterReturn;
}

std::set<data_centre_id> closed_centres::all() const {
  absl::MutexLock Lock(&Mutex);
  return Closed;
}
