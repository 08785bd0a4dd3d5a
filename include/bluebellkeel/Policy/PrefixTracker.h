#ifndef BLUEBELLKEEL_POLICY_PREFIXTRACKER_H
#define BLUEBELLKEEL_POLICY_PREFIXTRACKER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Policy/Prompt.h"
#include <map>
#include <set>

namespace bluebellkeel {

/// Tracks which upstreams have read which prompt parts for a model, based on
/// the requests of this instance. The result is an estimate, since engines
/// evict cached parts without notice.
class prefix_tracker {
public:
  /// A part that was not used for this long is assumed to be evicted.
  static constexpr milliseconds PartLifetime{10000};
  /// Maximum number of parts tracked per shard.
  static constexpr std::size_t MaxParts = 512;

  explicit prefix_tracker(const time_source &Clock) : Clock(Clock) {}

  /// Records that \p Upstream has read all parts of \p Prompt.
  void notePromptRead(const std::string &Model, const prompt &Prompt,
                      const upstream_id &Upstream);
  /// Returns the number of tokens at the start of \p Prompt that \p Upstream
  /// has probably cached.
  std::uint64_t cachedTokens(const std::string &Model, const prompt &Prompt,
                             const upstream_id &Upstream);

  /// Returns the upstreams that have probably cached some part of \p Prompt.
  std::set<upstream_id> readers(const std::string &Model, const prompt &Prompt);

private:
  using reader_map = std::map<upstream_id, monotonic_time>;
  using part_map = std::map<std::string, reader_map>;

  /// Removes the expired parts and, if the shard is still full, one other part.
  static void removeExpired(part_map &Shard, monotonic_time Now);
  bool holds(const std::string &Key, const upstream_id &Upstream,
             monotonic_time Now);

  const time_source &Clock;
  sharded<part_map> Parts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PREFIXTRACKER_H
