#include "bluebellkeel/Membership/LiveInstances.h"
#include <algorithm>

using namespace bluebellkeel;

void live_instances::learn(const instance_record &Record) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Record.id().text(), [&](entry_map &Shard) {
    auto [Known, New] = Shard.emplace(Record.id(), entry());
    entry &Entry = Known->second;
    bool Alive = Entry.Heard && Now - Entry.HeardAt <= SilenceLimit;
    // What an instance says of itself goes before what others say.
    if (!Alive)
      Entry.Record = Record;
    Entry.LearntAt = Now;
  });
}

void live_instances::hear(const instance_record &Record) {
  monotonic_time Now = Clock.monotonicNow();
  Entries.withShard(Record.id().text(), [&](entry_map &Shard) {
    Shard[Record.id()] = {Record, Now, Now, true};
  });
}

void live_instances::drop(const instance_id &Id) {
  Entries.withShard(Id.text(), [&](entry_map &Shard) { Shard.erase(Id); });
}

std::vector<instance_record> live_instances::known() {
  monotonic_time Now = Clock.monotonicNow();
  std::vector<instance_record> Known;
  Entries.forEachShard([&](entry_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      const entry &Entry = It->second;
      if (Now - std::max(Entry.HeardAt, Entry.LearntAt) > ForgetAfter) {
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
      if (Entry.Heard && Now - Entry.HeardAt <= SilenceLimit)
        Alive.push_back(Entry.Record);
    }
  });
  std::sort(Alive.begin(), Alive.end());
  return Alive;
}
