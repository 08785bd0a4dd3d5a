#ifndef BLUEBELLKEEL_POLICY_ROLLOUTTRACKER_H
#define BLUEBELLKEEL_POLICY_ROLLOUTTRACKER_H

#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/RollOutEvidence.h"
#include "bluebellkeel/Policy/RollOutLimits.h"
#include "bluebellkeel/Policy/RollOutStatus.h"
#include "bluebellkeel/Policy/VersionRule.h"
#include <map>
#include <optional>
#include <set>

namespace bluebellkeel {

/// The roll-outs under way: who is sent to which version, what came of it, and
/// when one is complete or taken back. Each instance stops a bad version on
/// what it knows itself, its own evidence and that of its peers.
class roll_out_tracker {
public:
  roll_out_tracker(roll_out_limits Limits, const time_source &Clock)
      : Limits(Limits), Clock(Clock) {}

  /// Other limits hold from now on, for orders that run as well.
  void adopt(roll_out_limits Newer) { Limits.set(Newer); }

  /// The operators gave an order; one that is known, or older, changes nothing.
  void noteOrder(const roll_out_order &Order);
  /// The operators took the order for \p Service away.
  void withdraw(const service_id &Service);
  /// What the log says was told to the operators.
  void noteStatus(const roll_out_status &Status);
  /// Versions that stood in the first list of upstreams need no order.
  void noteEstablished(const service_id &Service, const version_id &Version);

  /// The versions that a request may run on.
  ///
  /// \param Session names what must stay on one version.
  version_rule ruleFor(const service_id &Service, const std::string &Session);
  /// False for a version that was taken back, or that no order has named.
  bool usable(const service_id &Service, const version_id &Version);

  void noteSession(const service_id &Service, const std::string &Session,
                   const version_id &Version);
  void noteAnswer(const service_id &Service, const version_id &Version,
                  bool Good);
  void noteFirstByte(const service_id &Service, const version_id &Version,
                     milliseconds Time);

  std::vector<roll_out_evidence> evidence();
  void merge(const instance_id &Peer,
             const std::vector<roll_out_evidence> &Evidence);

  /// What the operators should be told and have not been, as far as known.
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
    std::map<std::string, monotonic_time> LastOnOtherVersion;

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
  bool inTrial(const entry &Entry, const std::string &Session,
               double Share) const;
  void advance(state &Shard, entry &Entry) const;
  static void setStage(state &Shard, entry &Entry, roll_out_stage Stage);
  void absorbOne(const instance_id &Peer, const roll_out_evidence &Evidence);

  guarded_value<roll_out_limits> Limits;
  const time_source &Clock;
  sharded<state> Shards;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTTRACKER_H
