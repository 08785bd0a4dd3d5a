#include "bluebellkeel/Scale/WorkCollector.h"
#include <algorithm>

using namespace bluebellkeel;

void work_collector::merge(const instance_id &Instance,
                           std::vector<service_work> Work) {
  absl::MutexLock Lock(&Mutex);
  monotonic_time Now = Clock.monotonicNow();
  for (auto It = Shares.begin(); It != Shares.end();)
    It = Now - It->second.At > ShareLifetime ? Shares.erase(It) : std::next(It);
  Shares[Instance] = {std::move(Work), Now};
}

known_work work_collector::workOf(const service_id &Service) const {
  absl::MutexLock Lock(&Mutex);
  monotonic_time Now = Clock.monotonicNow();
  double Running = 0;
  double Prefill = 0;
  known_work::centre_map ByCentre;
  std::size_t Sources = 0;
  milliseconds Age{0};
  for (const auto &[Instance, Share] : Shares) {
    if (Now - Share.At > ShareLifetime)
      continue;
    ++Sources;
    Age =
        std::max(Age, std::chrono::duration_cast<milliseconds>(Now - Share.At));
    for (const auto &Work : Share.Work) {
      if (Work.service() != Service)
        continue;
      Running += static_cast<double>(Work.running());
      Prefill += static_cast<double>(Work.prefill());
      ByCentre[Work.centre()] += static_cast<double>(Work.running());
    }
  }
  return {work_total(Running, 0, Prefill), std::move(ByCentre), Sources, Age};
}
