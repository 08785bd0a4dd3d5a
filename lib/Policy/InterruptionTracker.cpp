#include "bluebellkeel/Policy/InterruptionTracker.h"
#include <algorithm>
#include <iterator>

using namespace bluebellkeel;

monotonic_time interruption_tracker::latestCrash(const part_entry &Entry) {
  monotonic_time Latest = monotonic_time::min();
  for (const auto &[Upstream, Crash] : Entry)
    Latest = std::max(Latest, Crash.At);
  return Latest;
}

/// Removes the crash that follows another one most closely, since it adds least
/// to the evidence.
void interruption_tracker::removeClosestCrash(part_entry &Entry) {
  std::vector<std::pair<monotonic_time, upstream_incarnation>> Crashes;
  Crashes.reserve(Entry.size());
  for (const auto &[Upstream, Crash] : Entry)
    Crashes.emplace_back(Crash.At, Upstream);
  std::sort(Crashes.begin(), Crashes.end());
  std::size_t Closest = 1;
  for (std::size_t I = 2; I < Crashes.size(); ++I) {
    if (Crashes[I].first - Crashes[I - 1].first <
        Crashes[Closest].first - Crashes[Closest - 1].first)
      Closest = I;
  }
  Entry.erase(Crashes[Closest].second);
}

void interruption_tracker::makeRoom(part_map &Shard) const {
  if (Shard.size() < MaxParts)
    return;
  monotonic_time Expired = Clock.monotonicNow() - Lifetime;
  for (auto It = Shard.begin(); It != Shard.end();)
    It = latestCrash(It->second) < Expired ? Shard.erase(It) : std::next(It);
  if (Shard.size() < MaxParts)
    return;
  auto Rank = [](const part_entry &Entry) {
    return std::pair(Entry.size(), latestCrash(Entry));
  };
  Shard.erase(std::min_element(Shard.begin(), Shard.end(),
                               [&](const auto &L, const auto &R) {
                                 return Rank(L.second) < Rank(R.second);
                               }));
}

bool interruption_tracker::note(const part_interruption &Interruption) {
  if (Interruption.age() > Lifetime)
    return false;
  monotonic_time At = Clock.monotonicNow() - Interruption.age();
  return Parts.withShard(Interruption.part(), [&](part_map &Shard) {
    if (Shard.count(Interruption.part()) == 0)
      makeRoom(Shard);
    part_entry &Entry = Shard[Interruption.part()];
    auto Found = Entry.find(Interruption.upstream());
    if (Found == Entry.end()) {
      if (Entry.size() >= MaxCrashes)
        removeClosestCrash(Entry);
      Found = Entry.emplace(Interruption.upstream(), crash_entry()).first;
      Found->second.At = At;
    }
    crash_entry &Crash = Found->second;
    // The earliest report has the least delay.
    Crash.At = std::min(Crash.At, At);
    Crash.Position = std::max(Crash.Position, Interruption.position());
    return Crash.Requests.size() < MaxRequests &&
           Crash.Requests.insert(Interruption.request()).second;
  });
}

void interruption_tracker::clear(const std::string &Part,
                                 monotonic_time Until) {
  Parts.withShard(Part, [&](part_map &Shard) {
    auto Found = Shard.find(Part);
    if (Found == Shard.end())
      return;
    part_entry &Entry = Found->second;
    for (auto It = Entry.begin(); It != Entry.end();)
      It = It->second.At <= Until ? Entry.erase(It) : std::next(It);
    if (Entry.empty())
      Shard.erase(Found);
  });
}

std::vector<part_interruption> interruption_tracker::interruptions() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<part_interruption> Known;
  auto AddCrash = [&](const std::string &Part,
                      const upstream_incarnation &Upstream,
                      const crash_entry &Crash) {
    auto Age =
        std::max(std::chrono::duration_cast<milliseconds>(Now - Crash.At),
                 milliseconds(0));
    if (Age > Lifetime)
      return;
    for (const auto &Request : Crash.Requests)
      Known.emplace_back(Part, Crash.Position, Request, Upstream, Age);
  };
  Parts.forEachShard([&](part_map &Shard) {
    for (const auto &[Part, Entry] : Shard) {
      for (const auto &[Upstream, Crash] : Entry)
        AddCrash(Part, Upstream, Crash);
    }
  });
  return Known;
}
