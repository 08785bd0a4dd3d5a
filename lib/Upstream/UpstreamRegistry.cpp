#include "bluebellkeel/Upstream/UpstreamRegistry.h"
#include <algorithm>

using namespace bluebellkeel;

/// True if \p Newer is a significant change to \p Last, not only a renewed
/// registration.
static bool changesListing(const upstream_listing &Newer,
                           const upstream_listing &Last) {
  return Newer.incarnation() != Last.incarnation() ||
         Newer.leaving() != Last.leaving() ||
         (Newer.coldLeft() > milliseconds(0)) !=
             (Last.coldLeft() > milliseconds(0)) ||
         Newer.address() != Last.address() ||
         Newer.version() != Last.version() || Newer.service() != Last.service();
}

bool upstream_registry::insertIfNewer(const upstream_listing &Listing) {
  monotonic_time Now = Clock.monotonicNow();
  return Shards.withShard(Listing.id().text(), [&](state &Shard) {
    auto Removed = Shard.Removed.find(Listing.id());
    if (Removed != Shard.Removed.end()) {
      const upstream_listing &Last = Removed->second;
      bool SameIncarnation = Last.incarnation() == Listing.incarnation();
      if (Listing.age() <= Last.age() || (SameIncarnation && Last.leaving()))
        return false;
      Shard.Removed.erase(Removed);
    }
    auto Known = Shard.Entries.find(Listing.id());
    if (Known != Shard.Entries.end()) {
      const upstream_listing &Last = Known->second->listing();
      bool SameIncarnation = Last.incarnation() == Listing.incarnation();
      if (Listing.age() < Last.age() || (SameIncarnation && Last.leaving()))
        return false;
      Changes += changesListing(Listing, Last) ? 1 : 0;
      Shard.Entries.erase(Known);
    } else {
      ++Changes;
    }
    Shard.Entries.emplace(Listing.id(),
                          std::make_shared<const registry_entry>(
                              Listing, Now, Now + Listing.coldLeft()));
    return true;
  });
}

void upstream_registry::removeFrom(state &Shard, const upstream_id &Id) {
  auto Known = Shard.Entries.find(Id);
  if (Known == Shard.Entries.end())
    return;
  ++Changes;
  Shard.Removed[Id] = Known->second->listing();
  Shard.Entries.erase(Known);
}

void upstream_registry::remove(const upstream_id &Id) {
  Shards.withShard(Id.text(), [&](state &Shard) { removeFrom(Shard, Id); });
}

void upstream_registry::removeUnlisted(const std::set<upstream_id> &Listed) {
  Shards.forEachShard([&](state &Shard) {
    std::vector<upstream_id> Unlisted;
    for (const auto &[Id, Entry] : Shard.Entries) {
      if (Listed.count(Id) == 0)
        Unlisted.push_back(Id);
    }
    for (const auto &Id : Unlisted)
      removeFrom(Shard, Id);
  });
}

void upstream_registry::noteCold(const upstream_id &Id, monotonic_time Until) {
  Shards.withShard(Id.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Id);
    if (Known == Shard.Entries.end())
      return;
    const registry_entry &Entry = *Known->second;
    Known->second = std::make_shared<const registry_entry>(
        Entry.listing(), Entry.receivedAt(),
        std::max(Until, Entry.coldUntil()));
  });
}

void upstream_registry::noteReplaced(const upstream_id &Id,
                                     const network_address &Address) {
  Shards.withShard(Id.text(), [&](state &Shard) {
    auto Known = Shard.Entries.find(Id);
    if (Known != Shard.Entries.end() &&
        Known->second->listing().address() == Address)
      removeFrom(Shard, Id);
  });
}

std::optional<registry_entry> upstream_registry::find(const upstream_id &Id) {
  return Shards.withShard(Id.text(),
                          [&](state &Shard) -> std::optional<registry_entry> {
                            auto Known = Shard.Entries.find(Id);
                            if (Known == Shard.Entries.end())
                              return std::nullopt;
                            return *Known->second;
                          });
}

std::vector<std::shared_ptr<const registry_entry>>
upstream_registry::serving(const service_id &Service) {
  std::vector<std::shared_ptr<const registry_entry>> Serving;
  Shards.forEachShard([&](state &Shard) {
    for (const auto &[Id, Entry] : Shard.Entries) {
      if (Entry->listing().service() == Service && !Entry->listing().leaving())
        Serving.push_back(Entry);
    }
  });
  std::sort(Serving.begin(), Serving.end(), [](const auto &L, const auto &R) {
    return L->listing().id() < R->listing().id();
  });
  return Serving;
}
