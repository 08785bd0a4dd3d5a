#include "bluebellkeel/Policy/BlockTrials.h"
#include "bluebellkeel/Policy/BlockOwnership.h"
#include <algorithm>
#include <iterator>

using namespace bluebellkeel;

void block_trials::makeRoom(entry_map &Shard, monotonic_time Now) {
  for (auto It = Shard.begin(); It != Shard.end();)
    It = Now - It->second.LatestRefusal > Lifetime ? Shard.erase(It)
                                                   : std::next(It);
  if (Shard.size() < MaxBlocks)
    return;
  Shard.erase(std::min_element(
      Shard.begin(), Shard.end(), [](const auto &L, const auto &R) {
        return L.second.LatestRefusal < R.second.LatestRefusal;
      }));
}

bool block_trials::admit(const std::string &Block,
                         const std::vector<instance_id> &Instances) {
  if (!ownsBlock(Block, Self, Instances))
    return false;
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Block, [&](entry_map &Shard) {
    auto Found = Shard.find(Block);
    if (Found == Shard.end() || Now - Found->second.LatestRefusal > Lifetime) {
      makeRoom(Shard, Now);
      Shard[Block] = entry{Now, Now};
      return false;
    }
    entry &Entry = Found->second;
    Entry.LatestRefusal = Now;
    if (Now - Entry.Since < Entry.Delay)
      return false;
    Entry.Since = Now;
    Entry.Delay = std::min<seconds>(2 * Entry.Delay, MaxDelay);
    return true;
  });
}
