#include "bluebellkeel/Policy/PartCrashTracker.h"
#include "bluebellkeel/Core/StableHash.h"
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

void part_crash_tracker::noteInterruption(const fingerprint &Request,
                                          const upstream_incarnation &Upstream,
                                          const prompt &Prompt) {
  monotonic_time Now = Clock.monotonicNow();
  if (LatestAnswer.get() < Now - SuccessLifetime)
    return;
  bool Changed = false;
  std::uint64_t Position = 0;
  for (const auto &Part : Prompt.sharedPartIds()) {
    part_interruption Interruption(Part, Position++, Request, Upstream,
                                   milliseconds(0));
    if (!isSound(Part, Now) && Interruptions.note(Interruption))
      Changed = true;
  }
  if (Changed)
    updateBlame();
}

void part_crash_tracker::announce(const std::string &Part) {
  monotonic_time Now = Clock.monotonicNow();
  Announced.withShard(Part, [&](success_map &Shard) { Shard[Part] = Now; });
}

void part_crash_tracker::noteSuccess(const prompt &Prompt) {
  monotonic_time Now = Clock.monotonicNow();
  auto Known = blame();
  bool Cleared = false;
  for (const auto &Part : Prompt.sharedPartIds()) {
    LatestAnswer.set(Now);
    noteSuccessAt(Part, Now);
    if (!Known->mentions(Part) && !Known->interrupted(Part))
      continue;
    Interruptions.clear(Part, Now);
    announce(Part);
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
  auto Interrupted = Interruptions.interruptions();
  Blame.set(std::make_shared<const part_blame>(Known, Interrupted));
  std::optional<milliseconds> Oldest;
  if (!Known.empty())
    Oldest = Known.back().age();
  for (const auto &Interruption : Interrupted)
    Oldest = std::max(Oldest.value_or(milliseconds(0)), Interruption.age());
  BlameExpiry.set(Oldest ? Now - *Oldest + CrashLifetime
                         : monotonic_time::max());
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
  return part_crash_report(std::move(Reported), reportedSuccesses(),
                           reportedInterruptions());
}

std::vector<part_success> part_crash_tracker::reportedSuccesses() {
  monotonic_time Now = Clock.monotonicNow();
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
  return Sound;
}

/// Returns the interruptions that peers may lack, first those of the parts with
/// the most crashes. Of the others each gets its turn, since a peer may have
/// seen another crash with the same part.
std::vector<part_interruption> part_crash_tracker::reportedInterruptions() {
  auto Known = blame();
  auto All = Interruptions.interruptions();
  std::map<std::string, std::set<upstream_incarnation>> Upstreams;
  for (const auto &Interruption : All)
    Upstreams[Interruption.part()].insert(Interruption.upstream());
  auto Rank = [&](const part_interruption &Interruption) {
    return std::pair(Upstreams[Interruption.part()].size(),
                     -Interruption.age());
  };
  std::sort(All.begin(), All.end(),
            [&](const auto &L, const auto &R) { return Rank(L) > Rank(R); });
  std::map<std::string, std::size_t> Listed;
  std::vector<part_interruption> Reported;
  for (const auto &Interruption : All) {
    if (Reported.size() >= MaxReported)
      break;
    bool Blocked = Known->blockedParts().count(Interruption.part()) > 0;
    if (Blocked && Listed[Interruption.part()]++ >= MaxReportedOfBlockedPart)
      continue;
    if (Blocked || Interruption.age() <= ReportAge)
      Reported.push_back(Interruption);
  }
  return Reported;
}

void part_crash_tracker::merge(const part_crash_report &Report) {
  monotonic_time Now = Clock.monotonicNow();
  auto Known = blame();
  bool Changed = false;
  for (const auto &Success : Report.successes()) {
    if (Known->mentions(Success.part()) || Known->interrupted(Success.part())) {
      Interruptions.clear(Success.part(),
                          Now - Success.age() + SuccessLifetime);
      announce(Success.part());
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
        announce(Part);
    }
  }
  for (const auto &Interruption : Report.interruptions()) {
    if (isSound(Interruption.part(), Now - Interruption.age()))
      announce(Interruption.part());
    else if (Interruptions.note(Interruption))
      Changed = true;
  }
  if (Changed)
    updateBlame();
}
