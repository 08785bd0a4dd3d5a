#include "bluebellkeel/Policy/QualityTracker.h"
#include <cmath>

using namespace bluebellkeel;

void quality_tracker::addRecent(version_entry &Entry, std::uint64_t Good,
                                std::uint64_t Bad) {
  Entry.RecentGood += static_cast<double>(Good);
  Entry.RecentBad += static_cast<double>(Bad);
  double Total = Entry.RecentGood + Entry.RecentBad;
  if (Total <= MaxRecent)
    return;
  Entry.RecentGood *= MaxRecent / Total;
  Entry.RecentBad *= MaxRecent / Total;
}

void quality_tracker::rate(const version_id &Version, bool Good) {
  Versions.withShard(Version.text(), [&](version_map &Shard) {
    version_entry &Entry = Shard[Version];
    quality_counts &Own = Entry.Origins[Self];
    Own = Own.plus(Good ? quality_counts(1, 0) : quality_counts(0, 1));
    addRecent(Entry, Good ? 1 : 0, Good ? 0 : 1);
  });
}

void quality_tracker::merge(const instance_id &Origin,
                            const version_id &Version,
                            const quality_counts &Counts) {
  if (Origin == Self)
    return;
  Versions.withShard(Version.text(), [&](version_map &Shard) {
    version_entry &Entry = Shard[Version];
    quality_counts &Known = Entry.Origins[Origin];
    bool Newer = Counts.good() >= Known.good() && Counts.bad() >= Known.bad();
    if (!Newer)
      return;
    addRecent(Entry, Counts.good() - Known.good(), Counts.bad() - Known.bad());
    Known = Counts;
  });
}

quality_counts quality_tracker::totals(const version_id &Version) {
  return Versions.withShard(Version.text(), [&](version_map &Shard) {
    quality_counts Sum;
    auto Found = Shard.find(Version);
    if (Found == Shard.end())
      return Sum;
    for (const auto &[Origin, Counts] : Found->second.Origins)
      Sum = Sum.plus(Counts);
    return Sum;
  });
}

quality_counts quality_tracker::recent(const version_id &Version) {
  return Versions.withShard(Version.text(), [&](version_map &Shard) {
    auto Found = Shard.find(Version);
    if (Found == Shard.end())
      return quality_counts();
    const version_entry &Entry = Found->second;
    return quality_counts(
        static_cast<std::uint64_t>(std::llround(Entry.RecentGood)),
        static_cast<std::uint64_t>(std::llround(Entry.RecentBad)));
  });
}

std::vector<quality_tracker::origin_counts> quality_tracker::localTotals() {
  std::vector<origin_counts> Result;
  Versions.forEachShard([&](version_map &Shard) {
    for (const auto &[Version, Entry] : Shard) {
      auto Found = Entry.Origins.find(Self);
      if (Found != Entry.Origins.end())
        Result.emplace_back(Version, Found->second);
    }
  });
  return Result;
}
