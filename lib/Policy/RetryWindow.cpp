#include "bluebellkeel/Policy/RetryWindow.h"
#include <algorithm>

using namespace bluebellkeel;

/// Part of the allowance that is used, since instances count their windows
/// from different moments.
static constexpr double UsableFraction = 0.9;

void retry_window::dropOld(std::deque<monotonic_time> &Times,
                           monotonic_time Since) {
  while (!Times.empty() && Times.front() < Since)
    Times.pop_front();
}

void retry_window::noteRequest(const service_id &Service) {
  monotonic_time Now = Clock.monotonicNow();
  milliseconds Window = Rules.get().window();
  Histories.withShard(Service.text(), [&](history_map &Shard) {
    history &History = Shard[Service];
    dropOld(History.Requests, Now - Window);
    History.Requests.push_back(Now);
  });
}

bool retry_window::spend(const service_id &Service, std::size_t Instances) {
  monotonic_time Now = Clock.monotonicNow();
  retry_rules InForce = Rules.get();
  return Histories.withShard(Service.text(), [&](history_map &Shard) {
    history &History = Shard[Service];
    dropOld(History.Requests, Now - InForce.window());
    dropOld(History.Repeats, Now - InForce.window());
    double Share = InForce.slack() /
                   static_cast<double>(std::max<std::size_t>(Instances, 1));
    double Allowed =
        UsableFraction *
        (InForce.ratio() * static_cast<double>(History.Requests.size()) +
         Share);
    if (static_cast<double>(History.Repeats.size()) + 1 > Allowed)
      return false;
    History.Repeats.push_back(Now);
    return true;
  });
}
