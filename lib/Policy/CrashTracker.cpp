#include "bluebellkeel/Policy/CrashTracker.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>
#include <iterator>

using namespace bluebellkeel;

/// Returns the time from \p Then to \p Now; 0 if another thread noted \p Then
/// after \p Now was taken.
static milliseconds ageAt(monotonic_time Now, monotonic_time Then) {
  return std::max(std::chrono::duration_cast<milliseconds>(Now - Then),
                  milliseconds(0));
}

monotonic_time crash_tracker::entry::latest() const {
  monotonic_time Latest = monotonic_time::min();
  for (const auto &[Upstream, At] : Crashes)
    Latest = std::max(Latest, At);
  return Latest;
}

bool crash_tracker::entry::add(const upstream_id &Upstream, monotonic_time At) {
  auto [Known, IsNew] = Crashes.emplace(Upstream, At);
  if (!IsNew) {
    // The earliest report has the least delay.
    Known->second = std::min(Known->second, At);
    return false;
  }
  if (Crashes.size() > MaxCrashes)
    Crashes.erase(std::min_element(
        Crashes.begin(), Crashes.end(),
        [](const auto &L, const auto &R) { return L.second < R.second; }));
  return true;
}

void crash_tracker::removeExpired(entry_map &Shard, monotonic_time Now) {
  for (auto It = Shard.begin(); It != Shard.end();) {
    if (Now - It->second.latest() > EntryLifetime)
      It = Shard.erase(It);
    else
      ++It;
  }
  if (Shard.size() < MaxEntries)
    return;
  Shard.erase(std::min_element(Shard.begin(), Shard.end(),
                               [](const auto &L, const auto &R) {
                                 return L.second.rank() < R.second.rank();
                               }));
}

bool crash_tracker::restartingAt(const upstream_id &Upstream,
                                 monotonic_time Sent) {
  return Times.withShard(Upstream.text(), [&](crash_times &Shard) {
    auto Found = Shard.find(Upstream);
    return Found != Shard.end() && Found->second < Sent &&
           Sent - Found->second < RestartTime;
  });
}

void crash_tracker::noteTime(const upstream_id &Upstream, monotonic_time At) {
  monotonic_time Now = Clock.monotonicNow();
  Times.withShard(Upstream.text(), [&](crash_times &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();)
      It = Now - It->second > RestartTime ? Shard.erase(It) : std::next(It);
    auto Found = Shard.emplace(Upstream, At).first;
    Found->second = std::max(Found->second, At);
  });
}

bool crash_tracker::recordCrash(const fingerprint &Request,
                                const upstream_id &Upstream,
                                monotonic_time At) {
  if (isSound(Request, At))
    return false;
  return Entries.withShard(Request.text(), [&](entry_map &Shard) {
    if (Shard.count(Request) == 0)
      removeExpired(Shard, Clock.monotonicNow());
    return Shard[Request].add(Upstream, At);
  });
}

bool crash_tracker::noteCrash(const fingerprint &Request,
                              const upstream_id &Upstream,
                              monotonic_time Sent) {
  if (restartingAt(Upstream, Sent))
    return false;
  monotonic_time Now = Clock.monotonicNow();
  noteTime(Upstream, Now);
  bool IsNew = recordCrash(Request, Upstream, Now);
  if (IsNew && blocked(Request))
    noteBlockChange(Request);
  return IsNew;
}

void crash_tracker::notePeerCrash(const request_crash &Crash) {
  monotonic_time At = Clock.monotonicNow() - Crash.age();
  if (isSound(Crash.request(), At)) {
    announce(Crash.request());
    return;
  }
  // A repeated report of a known crash does not extend the restart time.
  if (recordCrash(Crash.request(), Crash.upstream(), At))
    noteTime(Crash.upstream(), At);
}

std::optional<monotonic_time>
crash_tracker::latestSuccess(const fingerprint &Request) {
  auto Recent = Successes.withShard(
      Request.text(), [&](success_map &Shard) { return Shard.find(Request); });
  return Cleared.withShard(Request.text(), [&](cleared_map &Shard) {
    auto Found = Shard.find(Request);
    if (Found == Shard.end())
      return Recent;
    return std::max(Recent, std::optional(Found->second.SuccessAt));
  });
}

bool crash_tracker::isSound(const fingerprint &Request,
                            monotonic_time CrashAt) {
  auto Success = latestSuccess(Request);
  return Success && CrashAt - *Success <= SuccessLifetime;
}

void crash_tracker::announce(const fingerprint &Request) {
  auto Success = latestSuccess(Request);
  if (!Success)
    return;
  monotonic_time Now = Clock.monotonicNow();
  Cleared.withShard(Request.text(), [&](cleared_map &Shard) {
    if (Shard.size() >= MaxCleared && Shard.count(Request) == 0)
      Shard.erase(std::min_element(
          Shard.begin(), Shard.end(), [](const auto &L, const auto &R) {
            return L.second.AnnouncedAt < R.second.AnnouncedAt;
          }));
    Shard[Request] = cleared_entry{*Success, Now};
  });
}

std::vector<request_success>
crash_tracker::successesToReport(monotonic_time Now) {
  std::vector<request_success> Requests;
  Cleared.forEachShard([&](cleared_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      const auto &[Request, Entry] = *It;
      // Peers may report crashes before the success as long as they last.
      if (Now - Entry.SuccessAt > EntryLifetime) {
        It = Shard.erase(It);
        continue;
      }
      ++It;
      if (Now - Entry.AnnouncedAt <= ReportAge && Requests.size() < MaxReported)
        Requests.emplace_back(Request, ageAt(Now, Entry.SuccessAt));
    }
  });
  return Requests;
}

bool crash_tracker::noteSuccessAt(const fingerprint &Request, monotonic_time At,
                                  monotonic_time Until) {
  Successes.withShard(Request.text(), [&](success_map &Shard) {
    Shard.set(Request, std::max(Shard.find(Request).value_or(At), At));
  });
  std::size_t Before = 0;
  std::size_t After = 0;
  Entries.withShard(Request.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Request);
    if (Found == Shard.end())
      return;
    auto &Crashes = Found->second.Crashes;
    Before = Crashes.size();
    for (auto It = Crashes.begin(); It != Crashes.end();)
      It = It->second <= Until ? Crashes.erase(It) : std::next(It);
    After = Crashes.size();
    if (Crashes.empty())
      Shard.erase(Found);
  });
  if (After < Before)
    announce(Request);
  return Before >= Limit && After < Limit;
}

void crash_tracker::noteSuccess(const fingerprint &Request) {
  monotonic_time Now = Clock.monotonicNow();
  if (noteSuccessAt(Request, Now, Now))
    noteBlockChange(Request);
}

void crash_tracker::notePeerSuccess(const request_success &Success) {
  monotonic_time At = Clock.monotonicNow() - Success.age();
  noteSuccessAt(Success.request(), At, At + SuccessLifetime);
}

std::size_t crash_tracker::crashesOf(const fingerprint &Request) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Request.text(),
                           [&](entry_map &Shard) -> std::size_t {
                             auto Found = Shard.find(Request);
                             if (Found == Shard.end())
                               return 0;
                             if (Now - Found->second.latest() > EntryLifetime)
                               return 0;
                             return Found->second.Crashes.size();
                           });
}

std::optional<crash_block> crash_tracker::blockOf(const fingerprint &Request) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(
      Request.text(), [&](entry_map &Shard) -> std::optional<crash_block> {
        auto Found = Shard.find(Request);
        if (Found == Shard.end())
          return std::nullopt;
        const entry &Entry = Found->second;
        if (Entry.Crashes.size() < Limit ||
            Now - Entry.latest() > EntryLifetime)
          return std::nullopt;
        return crash_block("request " + Request.text(), Entry.latest(),
                           Entry.Crashes.size() - Limit);
      });
}

bool crash_tracker::suspected(const fingerprint &Request) {
  return crashesOf(Request) > 0;
}

std::vector<request_crash> crash_tracker::crashesToReport(monotonic_time Now) {
  std::vector<request_crash> Crashes;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Request, Entry] : Shard) {
      bool Lasting = Entry.Crashes.size() >= MinLastingCrashes;
      if (Now - Entry.latest() >
          (Lasting ? EntryLifetime - ReportMargin : ReportAge))
        continue;
      for (const auto &[Upstream, At] : Entry.Crashes)
        Crashes.emplace_back(Request, Upstream, ageAt(Now, At));
    }
  });
  return Crashes;
}

request_crash_report crash_tracker::report() {
  monotonic_time Now = Clock.monotonicNow();
  auto All = crashesToReport(Now);
  std::size_t Count = std::min(All.size(), MaxReported);
  if (Count < All.size()) {
    // Reports go to the peers in a fixed order; a pseudorandom start keeps any
    // of them from getting the same crashes each time.
    std::size_t First = stableHash(std::to_string(Reports++)) % All.size();
    std::rotate(All.begin(), All.begin() + static_cast<std::ptrdiff_t>(First),
                All.end());
    All.erase(All.begin() + static_cast<std::ptrdiff_t>(Count), All.end());
  }
  return request_crash_report(std::move(All), successesToReport(Now));
}

std::vector<fingerprint>
crash_tracker::merge(const request_crash_report &Report) {
  for (const auto &Success : Report.successes())
    notePeerSuccess(Success);
  std::vector<fingerprint> NewlyBlocked;
  for (const auto &Crash : Report.crashes()) {
    bool WasBlocked = blocked(Crash.request());
    notePeerCrash(Crash);
    if (!WasBlocked && blocked(Crash.request()))
      NewlyBlocked.push_back(Crash.request());
  }
  return NewlyBlocked;
}

void crash_tracker::noteBlockChange(const fingerprint &Request) {
  BlockChanges.withShard(Request.text(), [&](request_set &Shard) {
    if (Shard.size() < MaxEntries)
      Shard.insert(Request);
  });
}

std::vector<fingerprint> crash_tracker::takeBlockChanges() {
  std::vector<fingerprint> Changes;
  BlockChanges.forEachShard([&](request_set &Shard) {
    Changes.insert(Changes.end(), Shard.begin(), Shard.end());
    Shard.clear();
  });
  return Changes;
}

std::optional<crash_record>
crash_tracker::blockRecord(const fingerprint &Request) {
  if (!blocked(Request))
    return std::nullopt;
  monotonic_time Now = Clock.monotonicNow();
  wall_time WallNow = Clock.wallNow();
  crash_record::crash_map Crashes;
  Entries.withShard(Request.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Request);
    if (Found == Shard.end())
      return;
    for (const auto &[Upstream, At] : Found->second.Crashes)
      Crashes.emplace(Upstream, WallNow - ageAt(Now, At));
  });
  return crash_record(Request, std::move(Crashes));
}
