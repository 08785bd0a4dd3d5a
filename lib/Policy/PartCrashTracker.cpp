#include "bluebellkeel/Policy/PartCrashTracker.h"
#include <algorithm>

using namespace bluebellkeel;

/// Makes room in \p Shard for a new entry: removes the entries older than
/// \p Lifetime and, if the shard is still full, the oldest one.
template <typename map_t, typename time_of_t>
static void makeRoom(map_t &Shard, std::size_t MaxEntries,
                     monotonic_time Expired, time_of_t TimeOf) {
  if (Shard.size() < MaxEntries)
    return;
  for (auto It = Shard.begin(); It != Shard.end();)
    It = TimeOf(It->second) < Expired ? Shard.erase(It) : std::next(It);
  if (Shard.size() < MaxEntries)
    return;
  Shard.erase(std::min_element(Shard.begin(), Shard.end(),
                               [&](const auto &L, const auto &R) {
                                 return TimeOf(L.second) < TimeOf(R.second);
                               }));
}

/// Returns the time from \p Then to \p Now; 0 if another thread noted \p Then
/// after \p Now was taken.
static milliseconds ageAt(monotonic_time Now, monotonic_time Then) {
  return std::max(std::chrono::duration_cast<milliseconds>(Now - Then),
                  milliseconds(0));
}

bool part_crash_tracker::insert(const fingerprint &Request,
                                const upstream_incarnation &Upstream,
                                std::vector<std::string> Parts,
                                monotonic_time At) {
  monotonic_time Expired = Clock.monotonicNow() - CrashLifetime;
  if (At < Expired)
    return false;
  return Crashes.withShard(Upstream.upstream().text(), [&](crash_map &Shard) {
    crash_key Key(Request, Upstream);
    if (Shard.count(Key) > 0)
      return false;
    makeRoom(Shard, MaxCrashes, Expired,
             [](const crash_entry &Entry) { return Entry.At; });
    Shard.emplace(Key, crash_entry{std::move(Parts), At});
    return true;
  });
}

void part_crash_tracker::noteSuccessAt(const std::string &Part,
                                       monotonic_time At) {
  monotonic_time Expired = Clock.monotonicNow() - SuccessLifetime;
  Successes.withShard(Part, [&](success_map &Shard) {
    auto Found = Shard.find(Part);
    if (Found != Shard.end()) {
      Found->second = std::max(Found->second, At);
      return;
    }
    makeRoom(Shard, MaxSuccesses, Expired,
             [](monotonic_time Time) { return Time; });
    Shard.emplace(Part, At);
  });
}

bool part_crash_tracker::isSound(const std::string &Part,
                                 monotonic_time CrashAt) {
  return Successes.withShard(Part, [&](success_map &Shard) {
    auto Found = Shard.find(Part);
    return Found != Shard.end() && CrashAt - Found->second <= SuccessLifetime;
  });
}

void part_crash_tracker::noteCrash(const fingerprint &Request,
                                   const upstream_incarnation &Upstream,
                                   const prompt &Prompt) {
  auto Parts = Prompt.sharedPartIds();
  if (!Parts.empty() &&
      insert(Request, Upstream, std::move(Parts), Clock.monotonicNow()))
    updateBlame();
}

void part_crash_tracker::noteSuccess(const prompt &Prompt) {
  monotonic_time Now = Clock.monotonicNow();
  auto Known = blame();
  bool Cleared = false;
  for (const auto &Part : Prompt.sharedPartIds()) {
    noteSuccessAt(Part, Now);
    if (!Known->mentions(Part))
      continue;
    Announced.withShard(Part, [&](success_map &Shard) { Shard[Part] = Now; });
    Cleared = true;
  }
  if (Cleared)
    updateBlame();
}

std::vector<part_crash> part_crash_tracker::crashes(monotonic_time Now) {
  std::vector<part_crash> Known;
  Crashes.forEachShard([&](crash_map &Shard) {
    for (const auto &[Key, Entry] : Shard) {
      if (Now - Entry.At <= CrashLifetime)
        Known.emplace_back(Key.first, Key.second, Entry.Parts,
                           ageAt(Now, Entry.At));
    }
  });
  std::sort(Known.begin(), Known.end(),
            [](const part_crash &L, const part_crash &R) {
              return L.age() < R.age();
            });
  std::vector<part_crash> Attributable;
  for (const auto &Crash : Known) {
    std::vector<std::string> Parts;
    for (const auto &Part : Crash.parts()) {
      if (!isSound(Part, Now - Crash.age()))
        Parts.push_back(Part);
    }
    Attributable.emplace_back(Crash.request(), Crash.upstream(),
                              std::move(Parts), Crash.age());
  }
  return Attributable;
}

void part_crash_tracker::updateBlame() {
  absl::MutexLock Lock(&UpdateMutex);
  monotonic_time Now = Clock.monotonicNow();
  auto Known = crashes(Now);
  Blame.set(std::make_shared<const part_blame>(Known));
  BlameExpiry.set(Known.empty() ? monotonic_time::max()
                                : Now - Known.back().age() + CrashLifetime);
}

std::shared_ptr<const part_blame> part_crash_tracker::blame() {
  if (Clock.monotonicNow() > BlameExpiry.get())
    updateBlame();
  return Blame.get();
}

/// True if one of \p Parts is blocked and fewer than \p Needed crashes with it
/// are listed yet; counts the crash then.
static bool supportsBlock(const part_crash &Crash,
                          const std::set<std::string> &Blocked,
                          std::map<std::string, std::size_t> &Listed) {
  constexpr std::size_t Needed = 2 * part_blame::BlockingRequests;
  for (const auto &Part : Crash.parts()) {
    if (Blocked.count(Part) > 0 && Listed[Part]++ < Needed)
      return true;
  }
  return false;
}

part_crash_report part_crash_tracker::report() {
  monotonic_time Now = Clock.monotonicNow();
  auto Known = blame();
  std::map<std::string, std::size_t> Listed;
  std::vector<part_crash> Reported;
  for (const auto &Crash : crashes(Now)) {
    if (Crash.parts().empty() || Reported.size() >= MaxReported)
      continue;
    bool Supports = supportsBlock(Crash, Known->blockedParts(), Listed);
    if (Supports || Crash.age() <= ReportAge)
      Reported.push_back(Crash);
  }
  std::vector<std::string> Parts;
  Announced.forEachShard([&](success_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      if (Now - It->second > ReportAge) {
        It = Shard.erase(It);
        continue;
      }
      Parts.push_back(It->first);
      ++It;
    }
  });
  std::vector<part_success> Sound;
  for (const auto &Part : Parts) {
    Successes.withShard(Part, [&](success_map &Shard) {
      auto Found = Shard.find(Part);
      if (Found != Shard.end() && Sound.size() < MaxReported)
        Sound.emplace_back(Part, ageAt(Now, Found->second));
    });
  }
  return part_crash_report(std::move(Reported), std::move(Sound));
}

void part_crash_tracker::merge(const part_crash_report &Report) {
  monotonic_time Now = Clock.monotonicNow();
  auto Known = blame();
  bool Changed = false;
  for (const auto &Success : Report.successes()) {
    if (Known->mentions(Success.part())) {
      Announced.withShard(Success.part(), [&](success_map &Shard) {
        Shard[Success.part()] = Now;
      });
      Changed = true;
    }
    noteSuccessAt(Success.part(), Now - Success.age());
  }
  for (const auto &Crash : Report.crashes()) {
    if (!insert(Crash.request(), Crash.upstream(), Crash.parts(),
                Now - Crash.age()))
      continue;
    Changed = true;
    for (const auto &Part : Crash.parts()) {
      if (isSound(Part, Now - Crash.age()))
        Announced.withShard(Part,
                            [&](success_map &Shard) { Shard[Part] = Now; });
    }
  }
  if (Changed)
    updateBlame();
}
