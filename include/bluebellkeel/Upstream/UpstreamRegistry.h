#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMREGISTRY_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMREGISTRY_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/RegistryEntry.h"
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// The upstreams that have registered. A listing older than the one known is
/// passed over, and an incarnation that was seen leaving never comes back.
class upstream_registry {
public:
  explicit upstream_registry(const time_source &Clock) : Clock(Clock) {}

  /// False when the listing is older than what is known.
  bool learn(const upstream_listing &Listing);
  void remove(const upstream_id &Id);
  /// Removes every upstream that is not in \p Listed.
  void retain(const std::set<upstream_id> &Listed);
  /// An upstream said that it stays cold until then.
  void noteCold(const upstream_id &Id, monotonic_time Until);
  /// An upstream of another id answered at this one's address.
  void noteReplaced(const upstream_id &Id, const network_address &Address);

  /// Grows with each change that matters to others: a listing that only says
  /// again what was known does not count.
  std::uint64_t changes() const { return Changes; }

  std::optional<registry_entry> find(const upstream_id &Id);
  /// Upstreams of \p Service that are not leaving, by id.
  std::vector<std::shared_ptr<const registry_entry>>
  serving(const service_id &Service);

private:
  struct state {
    std::map<upstream_id, std::shared_ptr<const registry_entry>> Entries;
    /// The last listing of upstreams that were removed.
    std::map<upstream_id, upstream_listing> Removed;
  };

  void removeFrom(state &Shard, const upstream_id &Id);

  const time_source &Clock;
  std::atomic<std::uint64_t> Changes{0};
  sharded<state> Shards;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMREGISTRY_H
