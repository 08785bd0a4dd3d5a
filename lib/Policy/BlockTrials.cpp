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

seconds block_trials::delayAfter(std::size_t FailedTrials) {
  seconds Delay = FirstDelay;
  for (std::size_t I = 0; I < FailedTrials && Delay < MaxDelay; ++I)
    Delay *= 2;
  return std::min(Delay, MaxDelay);
}

bool block_trials::admit(const crash_block &Block,
                         const std::vector<instance_id> &Instances) {
  if (!ownsBlock(Block.name(), Self, Instances))
    return false;
  monotonic_time Now = Clock.monotonicNow();
  seconds Delay = delayAfter(Block.failedTrials());
  return Entries.withShard(Block.name(), [&](entry_map &Shard) {
    auto Found = Shard.find(Block.name());
    if (Found == Shard.end() || Now - Found->second.LatestRefusal > Lifetime) {
      makeRoom(Shard, Now);
      entry New{Block.latestCrash().value_or(Now) + Delay, Now, Delay};
      Found = Shard.insert_or_assign(Block.name(), New).first;
    }
    entry &Entry = Found->second;
    Entry.LatestRefusal = Now;
    // Another instance may have made a trial in the meantime.
    if (Block.latestCrash())
      Entry.NextTrial = std::max(Entry.NextTrial, *Block.latestCrash() + Delay);
    if (Now < Entry.NextTrial)
      return false;
    Entry.Delay = std::min<seconds>(2 * Entry.Delay, MaxDelay);
    Entry.NextTrial = Now + Entry.Delay;
    return true;
  });
}
