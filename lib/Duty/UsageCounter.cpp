#include "bluebellkeel/Duty/UsageCounter.h"

using namespace bluebellkeel;

void usage_counter::onRequestBegun(const account_id &Account) {
  std::uint64_t Window = Times.windowAt(Clock.wallNow());
  Windows.withShard(Account.text(),
                    [&](window_map &Shard) { ++Shard[Window][Account]; });
}

std::vector<usage_report> usage_counter::counts() {
  std::uint64_t Newest = Times.windowAt(Clock.wallNow());
  std::uint64_t Oldest = Newest - std::min(Newest, MaxWindows - 1);
  window_map All;
  Windows.forEachShard([&](window_map &Shard) {
    Shard.erase(Shard.begin(), Shard.lower_bound(Oldest));
    for (const auto &[Window, Counts] : Shard)
      All[Window].insert(Counts.begin(), Counts.end());
  });
  std::vector<usage_report> Reports;
  Reports.reserve(All.size());
  for (auto &[Window, Counts] : All)
    Reports.emplace_back(Window, std::move(Counts));
  return Reports;
}
