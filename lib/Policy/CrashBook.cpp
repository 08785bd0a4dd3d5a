#include "bluebellkeel/Policy/CrashBook.h"
#include <algorithm>

using namespace bluebellkeel;

void crash_book::dropOld(entry_map &Shard, monotonic_time Now) {
  for (auto It = Shard.begin(); It != Shard.end();) {
    if (Now - It->second.Latest > Memory)
      It = Shard.erase(It);
    else
      ++It;
  }
  if (Shard.size() < MaxEntries)
    return;
  auto Oldest = std::min_element(Shard.begin(), Shard.end(),
                                 [](const auto &L, const auto &R) {
                                   return L.second.Latest < R.second.Latest;
                                 });
  Shard.erase(Oldest);
}

void crash_book::noteCrash(const fingerprint &Request,
                           const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Request.text(), [&](entry_map &Shard) {
    if (Shard.count(Request) == 0)
      dropOld(Shard, Now);
    entry &Entry = Shard[Request];
    Entry.Crashed.insert(Upstream);
    Entry.Latest = Now;
  });
}

void crash_book::noteSuccess(const fingerprint &Request) {
  Entries.withShard(Request.text(),
                    [&](entry_map &Shard) { Shard.erase(Request); });
}

std::size_t crash_book::crashesOf(const fingerprint &Request) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Request.text(),
                           [&](entry_map &Shard) -> std::size_t {
                             auto Found = Shard.find(Request);
                             if (Found == Shard.end())
                               return 0;
                             if (Now - Found->second.Latest > Memory)
                               return 0;
                             return Found->second.Crashed.size();
                           });
}

bool crash_book::blocked(const fingerprint &Request) {
  return crashesOf(Request) >= CrashLimit;
}

bool crash_book::suspected(const fingerprint &Request) {
  return crashesOf(Request) > 0;
}

std::vector<std::pair<fingerprint, upstream_id>>
crash_book::recent(milliseconds Age) {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<std::pair<fingerprint, upstream_id>> Crashes;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Request, Entry] : Shard) {
      if (Now - Entry.Latest > Age)
        continue;
      for (const auto &Upstream : Entry.Crashed)
        Crashes.emplace_back(Request, Upstream);
    }
  });
  return Crashes;
}
