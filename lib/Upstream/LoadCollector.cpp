#include "bluebellkeel/Upstream/LoadCollector.h"

using namespace bluebellkeel;

static milliseconds ageAt(monotonic_time Now, monotonic_time TakenAt) {
  return std::chrono::duration_cast<milliseconds>(Now - TakenAt);
}

void load_collector::note(const load_contribution &Contribution) {
  monotonic_time Now = Clock.monotonicNow();
  if (Contribution.age() > ContributionLifetime)
    return;
  const instance_id &Instance = Contribution.instance();
  Contributions.withShard(Instance.text(), [&](contribution_map &Shard) {
    held_contribution &Held = Shard[Instance];
    // After a restart with an earlier wall clock, the numbers start lower.
    bool Expired = Now - Held.TakenAt > ContributionLifetime;
    if (Held.Number >= Contribution.number() && !Expired)
      return;
    Held = {Contribution.number(), Now - Contribution.age(),
            Contribution.loads()};
  });
}

void load_collector::noteReport(const upstream_report &Report) {
  monotonic_time TakenAt = Clock.monotonicNow() - Report.age();
  Reports.withShard(Report.upstream().text(), [&](report_map &Shard) {
    held_report New{Report.report(), TakenAt};
    auto [Held, Inserted] = Shard.try_emplace(Report.upstream(), New);
    if (!Inserted && TakenAt > Held->second.TakenAt)
      Held->second = New;
  });
}

std::vector<load_contribution> load_collector::contributions() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<load_contribution> Live;
  Contributions.forEachShard([&](contribution_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      const held_contribution &Held = It->second;
      if (Now - Held.TakenAt > ContributionLifetime) {
        It = Shard.erase(It);
        continue;
      }
      Live.emplace_back(It->first, Held.Number, ageAt(Now, Held.TakenAt),
                        Held.Loads);
      ++It;
    }
  });
  return Live;
}

std::vector<upstream_report> load_collector::reports() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<upstream_report> Live;
  Reports.forEachShard([&](report_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      const held_report &Held = It->second;
      if (Now - Held.TakenAt > ReportLifetime) {
        It = Shard.erase(It);
        continue;
      }
      Live.emplace_back(It->first, Held.Report, ageAt(Now, Held.TakenAt));
      ++It;
    }
  });
  return Live;
}

load_board
load_collector::sum(const std::vector<load_contribution> &Contributions,
                    std::vector<upstream_report> Reports) {
  std::map<upstream_id, std::pair<std::uint64_t, std::uint64_t>> Sums;
  for (const auto &Contribution : Contributions) {
    for (const auto &Load : Contribution.loads()) {
      auto &[Running, Prefill] = Sums[Load.upstream()];
      Running += Load.running();
      Prefill += Load.prefill();
    }
  }
  std::vector<instance_load> Totals;
  Totals.reserve(Sums.size());
  for (const auto &[Upstream, Sum] : Sums)
    Totals.emplace_back(Upstream, Sum.first, Sum.second);
  return load_board(0, Contributions.size(), std::move(Totals),
                    std::move(Reports));
}
