#ifndef BLUEBELLKEEL_RELAY_UPSTREAMADMISSION_H
#define BLUEBELLKEEL_RELAY_UPSTREAMADMISSION_H

#include "bluebellkeel/Relay/ForwardDependencies.h"

namespace bluebellkeel {

/// Decides which upstreams this instance may send one attempt to now, by their
/// warm-up and by the limits that they name. To be used for one choice.
class upstream_admission {
public:
  /// Upper bound of freeIn().
  static constexpr milliseconds MaxDelay{10000};

  /// \param ColdRate requests per second that a cold upstream accepts.
  upstream_admission(const forward_dependencies &Deps, double ColdRate)
      : Deps(Deps), ColdRate(ColdRate) {}

  /// Returns true if the attempt may be sent to \p Candidate, and counts it
  /// against the upstream's rates.
  bool admit(const placement_candidate &Candidate);
  /// Returns the time until one of the upstreams rejected for its limit may get
  /// a request from some instance; empty if none was rejected for it.
  const std::optional<milliseconds> &freeIn() const { return FreeIn; }

private:
  const sender_group &group();
  /// \param Confirmed true if the upstream has named \p Limit recently.
  bool admitWithinLimit(const upstream_id &Upstream, double Limit,
                        bool Confirmed);
  void noteRejected(const upstream_id &Upstream, double Limit);

  const forward_dependencies &Deps;
  const double ColdRate;
  std::optional<sender_group> Group;
  std::optional<milliseconds> FreeIn;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_UPSTREAMADMISSION_H
