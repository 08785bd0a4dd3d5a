#include "bluebellkeel/Membership/LiveInstances.h"
#include <algorithm>

using namespace bluebellkeel;

void live_instances::recordRegistration(const instance_record &Record) {
  recordMention(Record);
  Entries.withShard(Record.id().text(), [&](entry_map &Shard) {
    Shard[Record.id()].Registered = true;
  });
}

void live_instances::recordMention(const instance_record &Record) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Record.id().text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Record.id()];
    // An instance's own record takes precedence over mentions by others.
    if (silentFor(Entry, Now, SilenceLimit))
      Entry.Record = Record;
    Entry.LastMentionedAt = Now;
  });
}

void live_instances::recordContact(const instance_record &Record) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Record.id().text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Record.id()];
    Entry.Record = Record;
    Entry.LastMentionedAt = Now;
    Entry.LastSeenAt = Now;
    Entry.Seen = true;
  });
}

void live_instances::recordReport(const liveness_report &LivenessReport) {
  monotonic_time At = Clock.monotonicNow() - LivenessReport.age();
  Entries.withShard(LivenessReport.id().text(), [&](entry_map &Shard) {
    auto Known = Shard.find(LivenessReport.id());
    if (Known == Shard.end())
      return;
    entry &Entry = Known->second;
    if (Entry.Seen && Entry.LastSeenAt >= At)
      return;
    const instance_record &Record = Entry.Record;
    Entry.Record = instance_record(Record.id(), Record.dataCentre(),
                                   Record.callerAddress(), Record.peerAddress(),
                                   LivenessReport.state());
    Entry.LastSeenAt = At;
    Entry.Seen = true;
  });
}

void live_instances::noteUnregistered(const instance_id &Id) {
  Entries.withShard(Id.text(), [&](entry_map &Shard) {
    auto Known = Shard.find(Id);
    if (Known != Shard.end())
      Known->second.Registered = false;
  });
}

std::vector<instance_record> live_instances::knownInstances() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<instance_record> Known;
  Entries.forEachShard([&](entry_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      const entry &Entry = It->second;
      bool Expired =
          Now - std::max(Entry.LastSeenAt, Entry.LastMentionedAt) > ForgetAfter;
      if (Expired && !Entry.Registered) {
        It = Shard.erase(It);
        continue;
      }
      Known.push_back(Entry.Record);
      ++It;
    }
  });
  return Known;
}

std::vector<instance_record> live_instances::alive() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<instance_record> Alive;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Id, Entry] : Shard) {
      if (!silentFor(Entry, Now, SilenceLimit))
        Alive.push_back(Entry.Record);
    }
  });
  std::sort(Alive.begin(), Alive.end());
  return Alive;
}

bool live_instances::anyAlive() { return countAlive(Clock.monotonicNow()) > 0; }

std::size_t live_instances::countAlive(monotonic_time Now) {
  std::size_t Count = 0;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Id, Entry] : Shard)
      Count += silentFor(Entry, Now, SilenceLimit) ? 0 : 1;
  });
  return Count;
}

std::vector<instance_record> live_instances::aliveInTurn(std::size_t MaxCount) {
  monotonic_time Now = Clock.monotonicNow();
  std::size_t Count = countAlive(Now);
  if (Count == 0)
    return {};
  // Only the chosen records are copied, since digests are frequent.
  std::size_t First = NextInTurn.fetch_add(MaxCount) % Count;
  std::size_t Position = 0;
  std::vector<instance_record> Chosen;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Id, Entry] : Shard) {
      if (silentFor(Entry, Now, SilenceLimit))
        continue;
      std::size_t Turn = (Position++ + Count - First) % Count;
      if (Turn < MaxCount && Chosen.size() < MaxCount)
        Chosen.push_back(Entry.Record);
    }
  });
  return Chosen;
}

std::vector<instance_id> live_instances::senders() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<instance_id> Senders;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Id, Entry] : Shard) {
      bool Recent = Now - std::max(Entry.LastSeenAt, Entry.LastMentionedAt) <=
                    SenderTimeout;
      if (Recent || (Entry.Registered && !Entry.Seen))
        Senders.push_back(Id);
    }
  });
  return Senders;
}

sender_group live_instances::rateSharers() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<instance_id> Recent;
  std::vector<instance_id> Known;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Id, Entry] : Shard) {
      Known.push_back(Id);
      if (Now - std::max(Entry.LastSeenAt, Entry.LastMentionedAt) <=
          SenderTimeout)
        Recent.push_back(Id);
    }
  });
  // Both counts without this instance, which is part of either group.
  bool Majority = 2 * (Recent.size() + 1) > Known.size() + 1;
  bool Complete = RegistrationsRead || Now - CreatedAt > SilenceLimit;
  return sender_group(std::move(Majority ? Recent : Known), Complete);
}

std::vector<liveness_report>
live_instances::livenessReports(const data_centre_id &Centre) {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<liveness_report> LivenessReports;
  Entries.forEachShard([&](entry_map &Shard) {
    for (const auto &[Id, Entry] : Shard) {
      if (silentFor(Entry, Now, SilenceLimit) ||
          Entry.Record.dataCentre() != Centre)
        continue;
      LivenessReports.emplace_back(
          Id, std::chrono::duration_cast<milliseconds>(Now - Entry.LastSeenAt),
          Entry.Record.state());
    }
  });
  return LivenessReports;
}
