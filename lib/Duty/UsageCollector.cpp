#include "bluebellkeel/Duty/UsageCollector.h"
#include <algorithm>

using namespace bluebellkeel;

void usage_collector::merge(const instance_id &Instance,
                            const std::vector<usage_report> &Counts) {
  absl::MutexLock Lock(&Mutex);
  for (const auto &Report : Counts) {
    usage_report::count_map &Known = Windows[Report.window()][Instance];
    for (const auto &[Account, Count] : Report.counts())
      Known[Account] = std::max(Known[Account], Count);
  }
}

usage_report usage_collector::total(std::uint64_t Window) const {
  usage_report::count_map Sum;
  absl::MutexLock Lock(&Mutex);
  auto Found = Windows.find(Window);
  if (Found == Windows.end())
    return {Window, std::move(Sum)};
  for (const auto &[Instance, Counts] : Found->second) {
    for (const auto &[Account, Count] : Counts)
      Sum[Account] += Count;
  }
  return {Window, std::move(Sum)};
}

std::size_t usage_collector::instances(std::uint64_t Window) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Windows.find(Window);
  return Found == Windows.end() ? 0 : Found->second.size();
}

void usage_collector::forgetBefore(std::uint64_t Window) {
  absl::MutexLock Lock(&Mutex);
  Windows.erase(Windows.begin(), Windows.lower_bound(Window));
}
