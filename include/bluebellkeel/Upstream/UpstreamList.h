#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMLIST_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMLIST_H

#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// Snapshot of the platform's list of upstreams, indexed by pool and id.
class upstream_list : public comparable<upstream_list> {
public:
  using record_list = std::vector<upstream_record>;

  upstream_list() = default;
  explicit upstream_list(record_list Records);

  const record_list &records() const { return Records; }
  /// Returns the upstreams of a pool; empty for an unknown pool.
  const record_list &pool(const pool_id &Pool) const;
  /// Returns the upstream, or null if it is not listed.
  const upstream_record *find(const upstream_id &Id) const;

  const record_list &key() const { return Records; }

private:
  record_list Records;
  std::map<pool_id, record_list> ByPool;
  std::map<upstream_id, std::size_t> Positions;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMLIST_H
