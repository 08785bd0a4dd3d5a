#ifndef BLUEBELLKEEL_MEMBERSHIP_FRESHNESSEVALUATOR_H
#define BLUEBELLKEEL_MEMBERSHIP_FRESHNESSEVALUATOR_H

#include "bluebellkeel/Membership/FreshnessRules.h"
#include "bluebellkeel/Membership/PeerStatus.h"
#include "bluebellkeel/Membership/ServingVerdict.h"
#include "bluebellkeel/Membership/SettingsPosition.h"
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Judges how recent an instance's settings are, from what it has read itself
/// and from what its peers answered.
class freshness_evaluator {
public:
  explicit freshness_evaluator(freshness_rules Rules) : Rules(Rules) {}

  /// How long ago the settings in force were last known to be the newest;
  /// empty when they never were. A peer counts when it has applied no more
  /// than we have.
  std::optional<milliseconds>
  logAge(monotonic_time Now, const settings_position &Own,
         const std::vector<peer_status> &Peers) const;

  /// \p Asked is how many peers are asked for heartbeats.
  serving_verdict evaluate(monotonic_time Now, const settings_position &Own,
                           const std::vector<peer_status> &Peers,
                           std::size_t Asked) const;

  bool isSilent(monotonic_time Now, const peer_status &Peer) const {
    return Now - Peer.askedAt() > Rules.maxPeerAge();
  }

private:
  freshness_rules Rules;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_FRESHNESSEVALUATOR_H
