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
    Entry.ReportIsOwn = true;
  });
  if (Report.timeFactor())
    SpeedReportedAt.store(Now, std::memory_order_relaxed);
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

void load_tracker::noteBoard(const load_board &Board,
                             const std::vector<instance_load> &Own,
                             monotonic_time At, bool Complete) {
  monotonic_time Now = Clock.monotonicNow();
  std::map<upstream_id, board_share> Others;
  for (const auto &Total : Board.totals())
    Others[Total.upstream()] = {Total.running(), Total.prefill(), At, Complete};
  for (const auto &Load : Own) {
    auto Found = Others.find(Load.upstream());
    if (Found == Others.end())
      continue;
    board_share &Share = Found->second;
    Share.Running -= std::min(Share.Running, Load.running());
    Share.Prefill -= std::min(Share.Prefill, Load.prefill());
  }
  Entries.forEachShard([&](entry_map &Shard) {
    for (auto &[Upstream, Entry] : Shard) {
      auto Found = Others.find(Upstream);
      Entry.Board = Found == Others.end() ? board_share{0, 0, At, Complete}
                                          : Found->second;
    }
  });
  for (const auto &[Upstream, Share] : Others) {
    Entries.withShard(Upstream.text(),
                      [&, &Upstream = Upstream, &Share = Share](
                          entry_map &Shard) { Shard[Upstream].Board = Share; });
  }
  for (const auto &Report : Board.reports()) {
    monotonic_time TakenAt = Now - Report.age();
    Entries.withShard(Report.upstream().text(), [&](entry_map &Shard) {
      entry &Entry = Shard[Report.upstream()];
      if (TakenAt <= Entry.ReportedAt)
        return;
      Entry.ReportedRunning = Report.report().running();
      Entry.ReportedWaiting = Report.report().waiting();
      Entry.ReportedTimeFactor = Report.report().timeFactor();
      Entry.ReportedAt = TakenAt;
      Entry.ReportIsOwn = false;
    });
  }
}

load_tracker::known_load load_tracker::loadOfOthers(entry &Entry,
                                                    monotonic_time Now) {
  if (hasBoard(Entry, Now))
    return {double(Entry.Board->Running), double(Entry.Board->Prefill)};
  known_load Load;
  for (auto It = Entry.Peers.begin(); It != Entry.Peers.end();) {
    const peer_share &Share = It->second;
    if (Now - Share.At > ReportLifetime) {
      It = Entry.Peers.erase(It);
      continue;
    }
    Load.Running += static_cast<double>(Share.Running);
    Load.Prefill += static_cast<double>(Share.Prefill);
    ++It;
  }
  return Load;
}

upstream_load load_tracker::loadOf(const upstream_id &Upstream) {
  monotonic_time Now = Clock.monotonicNow();
  return Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Upstream);
    if (Found == Shard.end())
      return upstream_load();
    entry &Entry = Found->second;
    known_load Others = loadOfOthers(Entry, Now);
    double Running = Others.Running + static_cast<double>(Entry.Running);
    double Prefill = Others.Prefill + static_cast<double>(Entry.Prefill);
    double Waiting = 0;
    if (Now - Entry.ReportedAt <= ReportLifetime) {
      // The counts of all instances are newer than any report.
      if (!hasBoard(Entry, Now) || !Entry.Board->Complete)
        Running = std::max(Running, double(Entry.ReportedRunning));
      Waiting = Entry.ReportedWaiting;
    }
    return upstream_load(Running, Prefill, Waiting,
                         decayedSuspicion(Entry, Now),
                         timeFactorOf(Entry, Now));
  });
}

std::vector<upstream_report> load_tracker::reportsAfter(monotonic_time After) {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<upstream_report> Reports;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Upstream, Entry] : Shard) {
      if (!Entry.ReportIsOwn || Entry.ReportedAt <= After)
        continue;
      Reports.emplace_back(
          Upstream,
          queue_report(Entry.ReportedRunning, Entry.ReportedWaiting,
                       Entry.ReportedTimeFactor),
          std::chrono::duration_cast<milliseconds>(Now - Entry.ReportedAt));
    }
  });
  return Reports;
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
