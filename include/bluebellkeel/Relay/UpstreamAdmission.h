#ifndef BLUEBELLKEEL_RELAY_UPSTREAMADMISSION_H
#define BLUEBELLKEEL_RELAY_UPSTREAMADMISSION_H

#include "bluebellkeel/Relay/ForwardDependencies.h"
#include "bluebellkeel/Relay/NoCandidate.h"

namespace bluebellkeel {

/// Decides which upstreams this instance may send one attempt to now, by their
/// warm-up and by the limits and pauses that they ask for. To be used for one
/// choice.
class upstream_admission {
public:
  /// \param ColdRate requests per second that a cold upstream accepts.
  /// \param Light true if the attempt takes little work compared with others of
  /// the service. Such attempts leave the advance on the limits to the others,
  /// since a limit counts requests and not their work.
  upstream_admission(const forward_dependencies &Deps, double ColdRate,
                     bool Light)
      : Deps(Deps), ColdRate(ColdRate), Light(Light) {}

  /// Returns true unless \p Upstream asked this instance for a pause, or its
  /// limit is used up for this instance.
  bool mayAdmit(const upstream_listing &Upstream);
  /// Returns true if the attempt may be sent to \p Candidate, and counts it
  /// against the upstream's rates.
  bool admit(const placement_candidate &Candidate);
  /// Returns why none of the upstreams so far may take the attempt.
  const no_candidate &rejection() const { return Rejection; }

private:
  using senders = shared_rate_limiter::senders;

  const sender_group &group();
  upstream_condition conditionOf(const upstream_listing &Upstream) const;
  shared_rate_limiter::request requestTo(const upstream_id &Upstream,
                                         double Limit, senders Senders);
  void noteRejected(const upstream_id &Upstream, double Limit);

  const forward_dependencies &Deps;
  const double ColdRate;
  const bool Light;
  std::optional<sender_group> Group;
  no_candidate Rejection;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_UPSTREAMADMISSION_H
