#include "bluebellkeel/Membership/ClosedDataCentres.h"

using namespace bluebellkeel;

void closed_data_centres::replace(std::set<data_centre_id> NowClosed) {
  monotonic_time Now = Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  for (const auto &Centre : Closed) {
    if (NowClosed.count(Centre) == 0)
      Reopened[Centre] = Now;
  }
  Closed = std::move(NowClosed);
}

bool closed_data_centres::closed(const data_centre_id &Centre) const {
  absl::MutexLock Lock(&Mutex);
  return Closed.count(Centre) > 0;
}

bool closed_data_centres::reopenedRecently(const data_centre_id &Centre) const {
  monotonic_time Now = Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  auto Found = Reopened.find(Centre);
  return Found != Reopened.end() && Now - Found->second < ReopenGracePeriod;
}

std::set<data_centre_id> closed_data_centres::all() const {
  absl::MutexLock Lock(&Mutex);
  return Closed;
}
