#ifndef BLUEBELLKEEL_POLICY_ROLLOUTTRACKER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTTRACKER_H

#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/AssignmentKey.h"
#include "bluebellkeel/Policy/RollOutEvidence.h"
#include "bluebellkeel/Policy/RollOutLimits.h"
#include "bluebellkeel/Policy/RollOutStatus.h"
#include "bluebellkeel/Policy/VersionRule.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Tracks roll-outs: assigns requests to versions, collects the outcomes, and
/// decides when a roll-out is complete or rolled back. Each instance decides
/// independently to roll a bad version back, from its own statistics and those
/// of its peers.
class roll_out_tracker {
public:
  roll_out_tracker(roll_out_limits Limits, const time_source &Clock)
      : Limits(Limits), Clock(Clock) {}

  /// Replaces the limits; takes effect at once, also for running roll-outs.
  void reconfigure(roll_out_limits Newer) { Limits.set(Newer); }

  /// Starts the roll-out of \p Order; ignores an order that is not newer than
  /// the known one. An order that was written again continues.
  void noteOrder(const roll_out_order &Order);
  /// Removes the order for \p Service after the operators withdrew it; a
  /// running roll-out is rolled back.
  void withdraw(const service_id &Service);
  /// Records a status that is in the log in \p Era. One of an era before that
  /// of the order may have been lost since.
  void noteStatus(const roll_out_status &Status, std::uint64_t Era);
  /// Records that \p Version was in the first list of upstreams; such a version
  /// needs no order.
  void noteEstablished(const service_id &Service, const version_id &Version);

  /// Returns the versions that a request with \p Key may run on.
  version_rule ruleFor(const service_id &Service, const assignment_key &Key);
  /// True if requests may run on \p Version: it was not rolled back, and it is
  /// established or the target of the current order. While no version is
  /// established, each one that was not rolled back is usable.
  bool usable(const service_id &Service, const version_id &Version);

  /// Counts a response of \p Version; ignored if no roll-out is known.
  void noteResponse(const service_id &Service, const version_id &Version,
                    bool Good);
  /// Records the time to the first byte of a response of \p Version; ignored if
  /// no roll-out is known.
  void noteFirstByte(const service_id &Service, const version_id &Version,
                     milliseconds Time);
  /// Records the mean time between two events of a stream of \p Version, from
  /// an upstream with \p Running requests; ignored if no roll-out is known.
  void noteEventInterval(const service_id &Service, const version_id &Version,
                         milliseconds Time, double Running);

  /// Returns the state and the statistics of all roll-outs, for the peers.
  std::vector<roll_out_evidence> evidence();
  /// Merges the evidence of \p Peer: newer orders, earlier starts and later
  /// stages replace the known ones; statistics replace the peer's earlier ones.
  void merge(const instance_id &Peer,
             const std::vector<roll_out_evidence> &Evidence);

  /// Returns the statuses that are not known to be published.
  std::vector<roll_out_status> unpublished();

private:
  struct entry {
    roll_out_order Order;
    monotonic_time StartedAt;
    roll_out_stage Stage = roll_out_stage::Running;
    std::optional<roll_out_stage> Published;
    version_stats Target;
    version_stats Others;
    std::map<instance_id, std::pair<version_stats, version_stats>> Peers;

    version_stats &statsOf(const version_id &Version) {
      return Version == Order.target() ? Target : Others;
    }
  };

  struct state {
    std::map<service_id, entry> Entries;
    std::map<service_id, std::set<version_id>> Established;
    std::map<service_id, std::set<version_id>> RolledBackVersions;
  };

  milliseconds elapsedOf(const entry &Entry) const;
  void advance(state &Shard, entry &Entry) const;
  static void setStage(state &Shard, entry &Entry, roll_out_stage Stage);
  void mergeEvidence(const instance_id &Peer,
                     const roll_out_evidence &Evidence);

  guarded_value<roll_out_limits> Limits;
  const time_source &Clock;
  sharded<state> Shards;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTTRACKER_H
