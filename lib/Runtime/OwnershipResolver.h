#ifndef BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPRESOLVER_H
#define BLUEBELLKEEL_LIB_RUNTIME_OWNERSHIPRESOLVER_H

#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Membership.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <vector>

namespace bluebellkeel {

/// Which instance owns which upstream, as far as this one can see.
class ownership_resolver {
public:
  ownership_resolver(instance_id Self, const time_source &Clock,
                     const instance_directory &Instances, peer_table &Peers,
                     freshness_evaluator Evaluator)
      : Self(std::move(Self)), Clock(Clock), Instances(Instances), Peers(Peers),
        Evaluator(Evaluator) {}

  /// The instances that may own: listed as live, without those that this one
  /// asks for heartbeats and that are silent or not serving.
  std::vector<instance_id> candidates() const;

  /// True when at least half of the instances that this one asks have answered
  /// lately. With fewer it is likely this one that is cut off, and it owns
  /// nothing.
  bool reachesHalfOfPeers() const;

  /// The record of \p Id; empty when it is not listed.
  std::optional<instance_record> recordOf(const instance_id &Id) const;

  /// Those of \p Upstreams that this instance owns among \p Candidates.
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
