#include "bluebellkeel/Policy/RollOutTracker.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Policy/RollOutAnalyzer.h"
#include "bluebellkeel/Policy/RollOutSchedule.h"
#include <algorithm>

using namespace bluebellkeel;

/// Returns a key's fixed position in a roll-out, from 0 up to but excluding 1.
static double positionOf(const roll_out_order &Order,
                         const assignment_key &Key) {
  constexpr std::uint64_t Steps = 10000;
  std::uint64_t Hash = stableHash(Order.service().text() + "|" +
                                  Order.target().text() + "|" + Key.text());
  return static_cast<double>(Hash % Steps) / static_cast<double>(Steps);
}

milliseconds roll_out_tracker::elapsedOf(const entry &Entry) const {
  return std::chrono::duration_cast<milliseconds>(Clock.monotonicNow() -
                                                  Entry.StartedAt);
}

void roll_out_tracker::noteOrder(const roll_out_order &Order) {
  Shards.withShard(Order.service().text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Order.service());
    if (Known != Shard.Entries.end()) {
      roll_out_order &KnownOrder = Known->second.Order;
      if (KnownOrder.position() >= Order.position())
        return;
      if (KnownOrder.isSameAs(Order)) {
        KnownOrder = Order;
        // The restored log may have lost the status.
        Known->second.Published.reset();
        return;
      }
    }
    entry Entry;
    Entry.Order = Order;
    Entry.StartedAt = Clock.monotonicNow();
    Shard.RolledBackVersions[Order.service()].erase(Order.target());
    Shard.Entries[Order.service()] = std::move(Entry);
  });
}

void roll_out_tracker::withdraw(const service_id &Service) {
  Shards.withShard(Service.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Service);
    if (Known == Shard.Entries.end())
      return;
    // A withdrawn order that is still running rolls the version back.
    if (Known->second.Stage == roll_out_stage::Running)
      setStage(Shard, Known->second, roll_out_stage::RolledBack);
    Shard.Entries.erase(Known);
  });
}

void roll_out_tracker::noteStatus(const roll_out_status &Status,
                                  std::uint64_t Era) {
  Shards.withShard(Status.service().text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Status.service());
    if (Known == Shard.Entries.end() ||
        Known->second.Order.target() != Status.target())
      return;
    entry &Entry = Known->second;
    bool Current = Era >= Entry.Order.position().era();
    if (Current && (!Entry.Published || *Entry.Published < Status.stage()))
      Entry.Published = Status.stage();
    if (Status.stage() > Entry.Stage)
      setStage(Shard, Entry, Status.stage());
  });
}

void roll_out_tracker::noteEstablished(const service_id &Service,
                                       const version_id &Version) {
  Shards.withShard(Service.text(), [&](state &Shard) {
    Shard.Established[Service].insert(Version);
  });
}

void roll_out_tracker::setStage(state &Shard, entry &Entry,
                                roll_out_stage Stage) {
  Entry.Stage = Stage;
  const service_id &Service = Entry.Order.service();
  if (Stage == roll_out_stage::Complete)
    Shard.Established[Service] = {Entry.Order.target()};
  if (Stage != roll_out_stage::RolledBack)
    return;
  Shard.RolledBackVersions[Service].insert(Entry.Order.target());
  Shard.Established[Service].erase(Entry.Order.target());
}

void roll_out_tracker::advance(state &Shard, entry &Entry) const {
  if (Entry.Stage != roll_out_stage::Running)
    return;
  version_stats Target = Entry.Target;
  version_stats Others = Entry.Others;
  for (const auto &[Peer, StatsPair] : Entry.Peers) {
    Target = Target.plus(StatsPair.first);
    Others = Others.plus(StatsPair.second);
  }
  roll_out_schedule Schedule(Entry.Order.duration(), Limits.get());
  if (roll_out_analyzer::isBad(Target, Others))
    setStage(Shard, Entry, roll_out_stage::RolledBack);
  else if (Schedule.finished(elapsedOf(Entry)))
    setStage(Shard, Entry, roll_out_stage::Complete);
}

version_rule roll_out_tracker::ruleFor(const service_id &Service,
                                       const assignment_key &Key) {
  using kind = version_rule::kind;
  return Shards.withShard(Service.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Service);
    if (Known == Shard.Entries.end())
      return version_rule();
    entry &Entry = Known->second;
    advance(Shard, Entry);
    const version_id &Target = Entry.Order.target();
    if (Entry.Stage == roll_out_stage::Complete)
      return version_rule(kind::Only, Target);
    if (Entry.Stage == roll_out_stage::RolledBack)
      return version_rule(kind::Not, Target);
    roll_out_schedule Schedule(Entry.Order.duration(), Limits.get());
    if (positionOf(Entry.Order, Key) >= Schedule.shareAt(elapsedOf(Entry), Key))
      return version_rule(kind::Not, Target);
    return version_rule(kind::Only, Target);
  });
}

bool roll_out_tracker::usable(const service_id &Service,
                              const version_id &Version) {
  return Shards.withShard(Service.text(), [&](state &Shard) {
    if (Shard.RolledBackVersions[Service].count(Version) > 0)
      return false;
    const auto &Established = Shard.Established[Service];
    if (Established.empty() || Established.count(Version) > 0)
      return true;
    auto Known = Shard.Entries.find(Service);
    return Known != Shard.Entries.end() &&
           Known->second.Order.target() == Version;
  });
}

void roll_out_tracker::noteResponse(const service_id &Service,
                                    const version_id &Version, bool Good) {
  Shards.withShard(Service.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Service);
    if (Known == Shard.Entries.end())
      return;
    version_stats &Stats = Known->second.statsOf(Version);
    Stats = Stats.withResponse(Good);
  });
}

void roll_out_tracker::noteFirstByte(const service_id &Service,
                                     const version_id &Version,
                                     milliseconds Time) {
  Shards.withShard(Service.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Service);
    if (Known == Shard.Entries.end())
      return;
    version_stats &Stats = Known->second.statsOf(Version);
    Stats = Stats.withFirstByte(Time);
  });
}

void roll_out_tracker::noteEventInterval(const service_id &Service,
                                         const version_id &Version,
                                         milliseconds Time, double Running) {
  Shards.withShard(Service.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Service);
    if (Known == Shard.Entries.end())
      return;
    version_stats &Stats = Known->second.statsOf(Version);
    Stats = Stats.withEventInterval(Time, Running);
  });
}

std::vector<roll_out_evidence> roll_out_tracker::evidence() {
  std::vector<roll_out_evidence> Evidence;
  Shards.forEachShard([&](state &Shard) {
    for (auto &[Service, Entry] : Shard.Entries) {
      advance(Shard, Entry);
      roll_out_evidence::fields Fields;
      Fields.Order = Entry.Order;
      Fields.Elapsed = elapsedOf(Entry);
      Fields.Stage = Entry.Stage;
      Fields.Published = Entry.Published == Entry.Stage;
      Fields.Target = Entry.Target;
      Fields.Others = Entry.Others;
      Evidence.emplace_back(std::move(Fields));
    }
  });
  return Evidence;
}

void roll_out_tracker::merge(const instance_id &Peer,
                             const std::vector<roll_out_evidence> &Evidence) {
  for (const auto &Item : Evidence)
    mergeEvidence(Peer, Item);
}

void roll_out_tracker::mergeEvidence(const instance_id &Peer,
                                     const roll_out_evidence &Evidence) {
  noteOrder(Evidence.order());
  monotonic_time Now = Clock.monotonicNow();
  const service_id &Service = Evidence.order().service();
  Shards.withShard(Service.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Service);
    if (Known == Shard.Entries.end() ||
        !Known->second.Order.isSameAs(Evidence.order()))
      return;
    entry &Entry = Known->second;
    Entry.StartedAt = std::min(Entry.StartedAt, Now - Evidence.elapsed());
    Entry.Peers[Peer] = {Evidence.target(), Evidence.others()};
    if (Evidence.stage() > Entry.Stage)
      setStage(Shard, Entry, Evidence.stage());
    bool Current =
        Evidence.order().position().era() >= Entry.Order.position().era();
    if (Current && Evidence.published() &&
        (!Entry.Published || *Entry.Published < Evidence.stage()))
      Entry.Published = Evidence.stage();
  });
}

std::vector<roll_out_status> roll_out_tracker::unpublished() {
  std::vector<roll_out_status> Statuses;
  Shards.forEachShard([&](state &Shard) {
    for (auto &[Service, Entry] : Shard.Entries) {
      advance(Shard, Entry);
      if (!Entry.Published || *Entry.Published < Entry.Stage)
        Statuses.emplace_back(Service, Entry.Order.target(), Entry.Stage);
    }
  });
  return Statuses;
}
