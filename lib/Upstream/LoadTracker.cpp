#include "bluebellkeel/Upstream/LoadTracker.h"
#include <algorithm>
#include <cmath>

using namespace bluebellkeel;

void load_tracker::noteSent(const upstream_id &Upstream,
                            std::uint64_t Prefill) {
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    ++Entry.Running;
    Entry.Prefill += Prefill;
  });
}

void load_tracker::notePrefillDone(const upstream_id &Upstream,
                                   std::uint64_t Prefill) {
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    Entry.Prefill -= std::min(Prefill, Entry.Prefill);
  });
}

void load_tracker::noteEnded(const upstream_id &Upstream) {
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    Entry.Running -= std::min<std::uint64_t>(1, Entry.Running);
  });
}

void load_tracker::noteReport(const upstream_id &Upstream,
                              const queue_report &Report) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    Entry.ReportedRunning = Report.running();
    Entry.ReportedWaiting = Report.waiting();
    Entry.ReportedTimeFactor = Report.timeFactor();
    Entry.ReportedAt = Now;
  });
}

double load_tracker::decayedSuspicion(const entry &Entry, monotonic_time Now) {
  using seconds_t = std::chrono::duration<double>;
  double HalfLives = seconds_t(Now - Entry.SuspectedAt).count() /
                     seconds_t(SuspicionHalfLife).count();
  return Entry.Suspicion * std::exp2(-HalfLives);
}

std::optional<double> load_tracker::timeFactorOf(const entry &Entry,
                                                 monotonic_time Now) {
  constexpr double Usual = 1;
  if (!Entry.ReportedTimeFactor)
    return std::nullopt;
  return Now - Entry.ReportedAt <= TimeFactorLifetime
             ? *Entry.ReportedTimeFactor
             : Usual;
}

void load_tracker::noteFailure(const upstream_id &Upstream, double Weight) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    Entry.Suspicion = decayedSuspicion(Entry, Now) + Weight;
    Entry.SuspectedAt = Now;
  });
}

void load_tracker::noteSuccess(const upstream_id &Upstream) {
  /// Share of the suspicion that remains after a success.
  constexpr double Remaining = 0.7;
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    Shard[Upstream].Suspicion *= Remaining;
  });
}

void load_tracker::notePeerReport(const instance_id &Peer,
                                  const std::vector<instance_load> &Loads) {
  monotonic_time Now = Clock.monotonicNow();
  std::set<upstream_id> Reported;
  for (const auto &Load : Loads)
    Reported.insert(Load.upstream());
  std::set<upstream_id> Former = Reported;
  ReportedUpstreams.withShard(
      Peer.text(), [&](auto &Shard) { std::swap(Shard[Peer], Former); });
  for (const auto &Upstream : Former) {
    if (Reported.count(Upstream) > 0)
      continue;
    Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
      Shard[Upstream].Peers.erase(Peer);
    });
  }
  for (const auto &Load : Loads) {
    Entries.withShard(Load.upstream().text(), [&](entry_map &Shard) {
      Shard[Load.upstream()].Peers[Peer] = {Load.running(), Load.prefill(),
                                            Now};
    });
  }
}

upstream_load load_tracker::loadOf(const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Upstream);
    if (Found == Shard.end())
      return upstream_load();
    entry &Entry = Found->second;
    auto Running = static_cast<double>(Entry.Running);
    auto Prefill = static_cast<double>(Entry.Prefill);
    for (auto It = Entry.Peers.begin(); It != Entry.Peers.end();) {
      const peer_share &Share = It->second;
      if (Now - Share.At > ReportLifetime) {
        It = Entry.Peers.erase(It);
        continue;
      }
      Running += static_cast<double>(Share.Running);
      Prefill += static_cast<double>(Share.Prefill);
      ++It;
    }
    double Waiting = 0;
    if (Now - Entry.ReportedAt <= ReportLifetime) {
      Running = std::max(Running, double(Entry.ReportedRunning));
      Waiting = Entry.ReportedWaiting;
    }
    return upstream_load(Running, Prefill, Waiting,
                         decayedSuspicion(Entry, Now),
                         timeFactorOf(Entry, Now));
  });
}

std::vector<instance_load> load_tracker::localLoads() {
  std::vector<instance_load> Loads;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Upstream, Entry] : Shard) {
      if (Entry.Running > 0)
        Loads.emplace_back(Upstream, Entry.Running, Entry.Prefill);
    }
  });
  return Loads;
}
