#ifndef BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPRESOLVER_H
#define BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPRESOLVER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <vector>

namespace bluebellkeel {

/// Determines which instance owns which upstream, from this instance's view of
/// its peers and of the platform's list.
class ownership_resolver {
public:
  ownership_resolver(instance_id Self, const time_source &Clock,
                     const instance_directory &Instances, peer_table &Peers,
                     freshness_evaluator Evaluator)
      : Self(std::move(Self)), Clock(Clock), Instances(Instances), Peers(Peers),
        Evaluator(Evaluator) {}

  /// Returns the instances that may own upstreams: all that are listed as live,
  /// except polled peers that are silent or not serving.
  std::vector<instance_id> candidates() const;

  /// True if at least half of the group of this instance and its polled peers
  /// is reachable, counting this instance itself. Otherwise this instance is
  /// probably cut off and must own nothing.
  bool reachesHalfOfPeers() const;

  /// Returns the record of \p Id; empty if \p Id is not listed.
  std::optional<instance_record> recordOf(const instance_id &Id) const;

  /// Returns the upstreams in \p Upstreams that this instance owns, if the
  /// owners are chosen among \p Candidates.
  std::vector<upstream_record>
  ownedOf(const std::vector<upstream_record> &Upstreams,
          const std::vector<instance_id> &Candidates) const;

private:
  bool isReachableAndServing(const instance_id &Id, monotonic_time Now) const;

  instance_id Self;
  const time_source &Clock;
  const instance_directory &Instances;
  peer_table &Peers;
  freshness_evaluator Evaluator;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPRESOLVER_H
