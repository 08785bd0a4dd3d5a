#include "bluebellkeel/Policy/ReturnSchedule.h"
#include <algorithm>

using namespace bluebellkeel;

milliseconds return_schedule::next(const service_id &Service, unsigned Priority,
                                   milliseconds FreeIn, double Rate) {
  monotonic_time Now = Clock.monotonicNow();
  std::chrono::duration<double> Gap(Rate > 0 ? 1 / Rate : 0);
  monotonic_time Latest = Now + MaxDelay;
  return Returns.withShard(Service.text(), [&](auto &Shard) {
    return_map &ByPriority = Shard[Service];
    monotonic_time At = std::min(Now + FreeIn, Latest);
    for (const auto &[Other, Next] : ByPriority) {
      if (Other <= Priority)
        At = std::max(At, Next);
    }
    At = std::min(At, Latest);
    ByPriority[Priority] = std::min(
        At + std::chrono::duration_cast<monotonic_time::duration>(
                 std::min<std::chrono::duration<double>>(Gap, MaxDelay)),
        Latest);
    return std::chrono::ceil<milliseconds>(At - Now);
  });
}
