#include "bluebellkeel/Upstream/GrantBook.h"
#include <algorithm>

using namespace bluebellkeel;

/// A wish that was not repeated for this long is forgotten.
static constexpr milliseconds WishLifetime{3000};

std::optional<upstream_slot> grant_book::tryAcquire(const upstream_id &Upstream,
                                                    const load_share &Need) {
  monotonic_time Now = Clock.monotonicNow();
  bool Acquired = Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    load_share After = Entry.InFlight.plus(Need);
    Entry.WishedAt = Now;
    Entry.Peak = load_share(std::max(Entry.Peak.requests(), After.requests()),
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

void grant_book::noteGrant(const grant &Grant, monotonic_time SentAt) {
  Entries.withShard(Grant.upstream().text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Grant.upstream()];
    monotonic_time Ends = SentAt + Grant.term();
    if (Ends < Entry.Ends)
      return;
    Entry.Ends = Ends;
    Entry.Granted = Grant.share();
  });
  Listener.roomMayBeFree();
}

std::vector<grant_request> grant_book::requests() {
  std::vector<grant_request> Requests;
  monotonic_time Now = Clock.monotonicNow();
  Entries.forEachShard([&](entry_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      entry &Entry = It->second;
      bool Idle =
          Entry.InFlight == load_share() && Now - Entry.WishedAt > WishLifetime;
      if (Idle && Now >= Entry.Ends) {
        It = Shard.erase(It);
        continue;
      }
      load_share Wanted = Idle ? load_share() : Entry.Peak;
      Requests.emplace_back(Self, It->first, Entry.InFlight, Wanted);
      Entry.Peak = Entry.InFlight;
      ++It;
    }
  });
  return Requests;
}

load_share grant_book::inFlight(const upstream_id &Upstream) {
  return Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    auto Found = Shard.find(Upstream);
    return Found == Shard.end() ? load_share() : Found->second.InFlight;
  });
}

void grant_book::releaseSlot(const upstream_id &Upstream,
                             const load_share &Need) {
  Entries.withShard(Upstream.text(), [&](entry_map &Shard) {
    entry &Entry = Shard[Upstream];
    Entry.InFlight = Entry.InFlight.minus(Need);
  });
  Listener.roomMayBeFree();
}
