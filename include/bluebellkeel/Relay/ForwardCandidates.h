#ifndef BLUEBELLKEEL_RELAY_FORWARDCANDIDATES_H
#define BLUEBELLKEEL_RELAY_FORWARDCANDIDATES_H

#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Policy/UpstreamPartition.h"
#include "bluebellkeel/Relay/NoCandidate.h"
#include "bluebellkeel/Relay/UpstreamAdmission.h"
#include <set>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Finds the upstream for one attempt of a request.
class forward_candidates {
public:
  /// Parameters of choose().
  struct query {
    const service_config &ServiceConfig;
    const version_rule &Rule;
    const std::set<upstream_id> &Tried;
    const request_id &Request;
    const prompt &Prompt;
    const std::string &Model;
    double RelativeTokenTime;
    /// True if other attempts of the service take much more work.
    bool Light;
  };

  explicit forward_candidates(const forward_dependencies &Deps) : Deps(Deps) {}

  /// Returns the best upstream that may take the request now. The request has
  /// been counted against its rates. The error tells whether one might take the
  /// request later.
  tl::expected<placement_candidate, no_candidate>
  choose(const query &Query) const;

private:
  using entry_list = std::vector<std::shared_ptr<const registry_entry>>;

  entry_list permittedEntries(const query &Query,
                              upstream_admission &Admission) const;
  /// Returns the best of \p Entries that may take the request now.
  std::optional<placement_candidate>
  chooseBest(const entry_list &Entries, const query &Query,
             const upstream_partition &Partition,
             upstream_admission &Admission) const;
  placement_candidate makeCandidate(const registry_entry &Entry,
                                    const query &Query,
                                    const upstream_partition &Partition) const;
  bool permitted(const registry_entry &Entry, const query &Query) const;
  bool isCold(const registry_entry &Entry) const;

  const forward_dependencies &Deps;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDCANDIDATES_H
