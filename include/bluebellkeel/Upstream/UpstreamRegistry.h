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

/// Holds the upstreams that have registered. A listing older than the known one
/// is ignored, and an incarnation that was seen leaving is never listed as
/// serving again.
class upstream_registry {
public:
  explicit upstream_registry(const time_source &Clock) : Clock(Clock) {}

  /// Adds the listing or replaces the known one, also one of the same age.
  /// Returns false if the listing is ignored.
  bool insertIfNewer(const upstream_listing &Listing);
  void remove(const upstream_id &Id);
  /// Removes every upstream that is not in \p Listed.
  void removeUnlisted(const std::set<upstream_id> &Listed);
  /// Records that the upstream stays cold until \p Until.
  void noteCold(const upstream_id &Id, monotonic_time Until);
  /// Removes the upstream if it is still listed at \p Address, where an
  /// upstream with another id responded.
  void noteReplaced(const upstream_id &Id, const network_address &Address);

  /// Number of significant changes; a listing that only renews a known one does
  /// not count.
  std::uint64_t changes() const { return Changes; }

  std::optional<registry_entry> find(const upstream_id &Id);
  /// Returns the upstreams of \p Service that are not leaving, ordered by id.
  std::vector<std::shared_ptr<const registry_entry>>
  serving(const service_id &Service);

private:
  struct state {
    std::map<upstream_id, std::shared_ptr<const registry_entry>> Entries;
    /// Last listing of each removed upstream.
    std::map<upstream_id, upstream_listing> Removed;
  };

  void removeFrom(state &Shard, const upstream_id &Id);

  const time_source &Clock;
  std::atomic<std::uint64_t> Changes{0};
  sharded<state> Shards;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMREGISTRY_H
