#include "bluebellkeel/Policy/RetryWindow.h"
#include <algorithm>

using namespace bluebellkeel;

/// Share of the allowance that is used, since the windows of the instances are
/// not aligned.
static constexpr double UsableFraction = 0.9;

void retry_window::removeExpired(std::deque<monotonic_time> &Times,
                                 monotonic_time Since) {
  while (!Times.empty() && Times.front() < Since)
    Times.pop_front();
}

void retry_window::noteRequest(const service_id &Service) {
  monotonic_time Now = Clock.monotonicNow();
  milliseconds Window = Rules.get().window();
  Histories.withShard(Service.text(), [&](history_map &Shard) {
    history &History = Shard[Service];
    removeExpired(History.Requests, Now - Window);
    History.Requests.push_back(Now);
  });
}

bool retry_window::spend(const service_id &Service, std::size_t Instances) {
  monotonic_time Now = Clock.monotonicNow();
  retry_rules CurrentRules = Rules.get();
  return Histories.withShard(Service.text(), [&](history_map &Shard) {
    history &History = Shard[Service];
    removeExpired(History.Requests, Now - CurrentRules.window());
    removeExpired(History.Retries, Now - CurrentRules.window());
    double Share = CurrentRules.slack() /
                   static_cast<double>(std::max<std::size_t>(Instances, 1));
    double Allowed =
        UsableFraction *
        (CurrentRules.ratio() * static_cast<double>(History.Requests.size()) +
         Share);
    if (static_cast<double>(History.Retries.size()) + 1 > Allowed)
      return false;
    History.Retries.push_back(Now);
    return true;
  });
}
