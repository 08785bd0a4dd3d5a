#ifndef BLUEBELLKEEL_MEMBERSHIP_FRESHNESSEVALUATOR_H
#define BLUEBELLKEEL_MEMBERSHIP_FRESHNESSEVALUATOR_H

#include "bluebellkeel/Membership/FreshnessRules.h"
#include "bluebellkeel/Membership/PeerStatus.h"
#include "bluebellkeel/Membership/ServingVerdict.h"
#include "bluebellkeel/Membership/SettingsPosition.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Evaluates how recent an instance's settings are, from its own reads and from
/// the heartbeats of its peers.
class freshness_evaluator {
public:
  explicit freshness_evaluator(freshness_rules Rules) : Rules(Rules) {}

  /// Returns how long ago the settings in force were last known to be the
  /// newest; empty when they never were. Uses the heartbeat of a peer only if
  /// the peer has applied no more of the log than this instance.
  std::optional<milliseconds>
  logAge(monotonic_time Now, const settings_position &Own,
         const std::vector<peer_status> &Peers) const;

  /// Returns whether this instance may take new work. \p AskedPeers is the
  /// number of peers that this instance asks for heartbeats.
  serving_verdict evaluate(monotonic_time Now, const settings_position &Own,
                           const std::vector<peer_status> &Peers,
                           std::size_t AskedPeers) const;

  bool isSilent(monotonic_time Now, const peer_status &Peer) const {
    return Now - Peer.requestedAt() > Rules.maxPeerAge();
  }

private:
  freshness_rules Rules;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_FRESHNESSEVALUATOR_H
