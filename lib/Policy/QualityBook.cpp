#include "bluebellkeel/Policy/QualityBook.h"

using namespace bluebellkeel;

void quality_book::rate(const version_id &Version, bool Good) {
  Versions.withShard(Version.text(), [&](version_map &Shard) {
    quality_counts &Own = Shard[Version][Self];
    Own = Own.plus(Good ? quality_counts(1, 0) : quality_counts(0, 1));
  });
}

void quality_book::merge(const instance_id &Origin, const version_id &Version,
                         const quality_counts &Counts) {
  if (Origin == Self)
    return;
  Versions.withShard(Version.text(), [&](version_map &Shard) {
    quality_counts &Held = Shard[Version][Origin];
    if (Counts.total() > Held.total())
      Held = Counts;
  });
}

quality_counts quality_book::counts(const version_id &Version) {
  return Versions.withShard(Version.text(), [&](version_map &Shard) {
    quality_counts Sum;
    auto Found = Shard.find(Version);
    if (Found == Shard.end())
      return Sum;
    for (const auto &[Origin, Counts] : Found->second)
      Sum = Sum.plus(Counts);
    return Sum;
  });
}

std::vector<quality_book::origin_counts> quality_book::own() {
  std::vector<origin_counts> Result;
  Versions.forEachShard([&](version_map &Shard) {
    for (const auto &[Version, Origins] : Shard) {
      auto Found = Origins.find(Self);
      if (Found != Origins.end())
        Result.emplace_back(Version, Found->second);
    }
  });
  return Result;
}
