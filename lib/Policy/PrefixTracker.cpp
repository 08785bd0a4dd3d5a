#include "bluebellkeel/Policy/PrefixTracker.h"
#include <algorithm>

using namespace bluebellkeel;

static std::string keyOf(const std::string &Model, const prompt_part &Part) {
  return Model + "|" + Part.id();
}

static monotonic_time
latestOf(const std::map<upstream_id, monotonic_time> &Readers) {
  monotonic_time Latest;
  for (const auto &[Upstream, At] : Readers)
    Latest = std::max(Latest, At);
  return Latest;
}

void prefix_tracker::removeExpired(part_map &Shard, monotonic_time Now) {
  for (auto It = Shard.begin(); It != Shard.end();) {
    if (Now - latestOf(It->second) > PartLifetime)
      It = Shard.erase(It);
    else
      ++It;
  }
  if (Shard.size() >= MaxParts)
    Shard.erase(Shard.begin());
}

void prefix_tracker::notePromptRead(const std::string &Model,
                                    const prompt &Prompt,
                                    const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  for (const auto &Part : Prompt.parts()) {
    std::string Key = keyOf(Model, Part);
    Parts.withShard(Key, [&](part_map &Shard) {
      if (Shard.size() >= MaxParts && Shard.count(Key) == 0)
        removeExpired(Shard, Now);
      Shard[Key][Upstream] = Now;
    });
  }
}

bool prefix_tracker::holds(const std::string &Key, const upstream_id &Upstream,
                           monotonic_time Now) {
  return Parts.withShard(Key, [&](part_map &Shard) {
    auto Found = Shard.find(Key);
    if (Found == Shard.end())
      return false;
    auto Reader = Found->second.find(Upstream);
    return Reader != Found->second.end() &&
           Now - Reader->second <= PartLifetime;
  });
}

std::uint64_t prefix_tracker::cachedTokens(const std::string &Model,
                                           const prompt &Prompt,
                                           const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  std::uint64_t Tokens = 0;
  // A part is cached only together with all parts before it.
  for (const auto &Part : Prompt.parts()) {
    if (!holds(keyOf(Model, Part), Upstream, Now))
      break;
    Tokens += Part.tokens();
  }
  return Tokens;
}

std::set<upstream_id> prefix_tracker::readers(const std::string &Model,
                                              const prompt &Prompt) {
  monotonic_time Now = Clock.monotonicNow();
  std::set<upstream_id> Readers;
  for (const auto &Part : Prompt.parts()) {
    std::string Key = keyOf(Model, Part);
    Parts.withShard(Key, [&](part_map &Shard) {
      auto Found = Shard.find(Key);
      if (Found == Shard.end())
        return;
      for (const auto &[Upstream, At] : Found->second) {
        if (Now - At <= PartLifetime)
          Readers.insert(Upstream);
      }
    });
  }
  return Readers;
}
