#include "bluebellkeel/Upstream/GrantHolder.h"
#include <algorithm>

using namespace bluebellkeel;

/// Demand that is not repeated for this long expires.
static constexpr milliseconds DemandLifetime{3000};

std::optional<upstream_slot>
grant_holder::tryAcquire(const upstream_id &Upstream, const load_amount &Need) {
  monotonic_time Now = Clock.monotonicNow();
  bool Acquired = Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    load_amount After = Entry.InFlight.plus(Need);
    Entry.LastWantedAt = Now;
    Entry.Peak = load_amount(std::max(Entry.Peak.requests(), After.requests()),
                             std::max(Entry.Peak.tokens(), After.tokens()));
    if (Now >= Entry.Ends || !After.fitsIn(Entry.Granted))
      return false;
    Entry.InFlight = After;
    return true;
  });
  if (!Acquired)
    return std::nullopt;
  return upstream_slot(*this, Upstream, Need);
}

void grant_holder::noteGrant(const grant &Grant, monotonic_time SentAt) {
  Entries.withShard(Grant.upstream().text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Grant.upstream()];
    monotonic_time Ends = SentAt + Grant.term();
    if (Ends < Entry.Ends)
      return;
    Entry.Ends = Ends;
    Entry.Granted = Grant.share();
  });
  Listener.onCapacityChanged();
}

std::vector<grant_request> grant_holder::requests() {
  std::vector<grant_request> Requests;
  monotonic_time Now = Clock.monotonicNow();
  Entries.forEachShard([&](entry_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      entry &Entry = It->second;
      bool Idle = Entry.InFlight == load_amount() &&
                  Now - Entry.LastWantedAt > DemandLifetime;
      if (Idle && Now >= Entry.Ends) {
        It = Shard.erase(It);
        continue;
      }
      load_amount Wanted = Idle ? load_amount() : Entry.Peak;
      Requests.emplace_back(Self, It->first, Entry.InFlight, Wanted);
      Entry.Peak = Entry.InFlight;
      ++It;
    }
  });
  return Requests;
}

load_amount grant_holder::inFlight(const upstream_id &Upstream) {
  return Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Upstream);
    return Found == Shard.end() ? load_amount() : Found->second.InFlight;
  });
}

void grant_holder::releaseSlot(const upstream_id &Upstream,
                               const load_amount &Need) {
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    Entry.InFlight = Entry.InFlight.minus(Need);
  });
  Listener.onCapacityChanged();
}
