#include "bluebellkeel/Policy/CrashTracker.h"
#include <algorithm>
#include <iterator>

using namespace bluebellkeel;

void crash_tracker::removeExpired(entry_map &Shard, monotonic_time Now) {
  for (auto It = Shard.begin(); It != Shard.end();) {
    if (Now - It->second.Latest > EntryLifetime)
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

bool crash_tracker::restartingAt(const upstream_id &Upstream,
                                 monotonic_time Sent) {
  return Times.withShard(Upstream.text(), [&](crash_times &Shard) {
    auto Found = Shard.find(Upstream);
    return Found != Shard.end() && Found->second < Sent &&
           Sent - Found->second < RestartTime;
  });
}

void crash_tracker::noteTime(const upstream_id &Upstream, monotonic_time Now) {
  Times.withShard(Upstream.text(), [&](crash_times &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();)
      It = Now - It->second > RestartTime ? Shard.erase(It) : std::next(It);
    Shard[Upstream] = Now;
  });
}

bool crash_tracker::recordCrash(const fingerprint &Request,
                                const upstream_id &Upstream,
                                monotonic_time Now) {
  if (succeededBefore(Request))
    return false;
  return Entries.withShard(Request.text(), [&](entry_map &Shard) {
    if (Shard.count(Request) == 0)
      removeExpired(Shard, Now);
    entry &Entry = Shard[Request];
    if (!Entry.Crashed.insert(Upstream).second)
      return false;
    Entry.Latest = Now;
    return true;
  });
}

bool crash_tracker::noteCrash(const fingerprint &Request,
                              const upstream_id &Upstream,
                              monotonic_time Sent) {
  if (restartingAt(Upstream, Sent))
    return false;
  monotonic_time Now = Clock.monotonicNow();
  noteTime(Upstream, Now);
  return recordCrash(Request, Upstream, Now);
}

void crash_tracker::notePeerCrash(const fingerprint &Request,
                                  const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  if (succeededBefore(Request)) {
    noteCleared(Request);
    return;
  }
  // A repeated report of a known crash does not extend the restart time.
  if (recordCrash(Request, Upstream, Now))
    noteTime(Upstream, Now);
}

void crash_tracker::noteCleared(const fingerprint &Request) {
  monotonic_time Now = Clock.monotonicNow();
  Cleared.withShard(Request.text(), [&](cleared_map &Shard) {
    if (Shard.size() >= MaxCleared && Shard.count(Request) == 0)
      Shard.erase(std::min_element(
          Shard.begin(), Shard.end(),
          [](const auto &L, const auto &R) { return L.second < R.second; }));
    Shard[Request] = Now;
  });
}

std::vector<fingerprint> crash_tracker::cleared(milliseconds Age) {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<fingerprint> Requests;
  Cleared.forEachShard([&](cleared_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      if (Now - It->second > Age) {
        It = Shard.erase(It);
        continue;
      }
      if (Requests.size() < MaxCleared)
        Requests.push_back(It->first);
      ++It;
    }
  });
  return Requests;
}

void crash_tracker::noteSuccess(const fingerprint &Request) {
  std::size_t Erased = Entries.withShard(
      Request.text(), [&](entry_map &Shard) { return Shard.erase(Request); });
  if (Erased > 0)
    noteCleared(Request);
  Successes.withShard(Request.text(),
                      [&](success_set &Shard) { Shard.add(Request); });
}

bool crash_tracker::succeededBefore(const fingerprint &Request) {
  return Successes.withShard(Request.text(), [&](success_set &Shard) {
    return Shard.contains(Request);
  });
}

std::size_t crash_tracker::crashesOf(const fingerprint &Request) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Request.text(),
                           [&](entry_map &Shard) -> std::size_t {
                             auto Found = Shard.find(Request);
                             if (Found == Shard.end())
                               return 0;
                             if (Now - Found->second.Latest > EntryLifetime)
                               return 0;
                             return Found->second.Crashed.size();
                           });
}

bool crash_tracker::blocked(const fingerprint &Request) {
  return crashesOf(Request) >= CrashLimit;
}

bool crash_tracker::suspected(const fingerprint &Request) {
  return crashesOf(Request) > 0;
}

std::vector<std::pair<fingerprint, upstream_id>>
crash_tracker::recent(milliseconds Age) {
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
