#ifndef BLUEBELLKEEL_RELAY_FORWARDCANDIDATES_H
#define BLUEBELLKEEL_RELAY_FORWARDCANDIDATES_H

#include "bluebellkeel/Relay/ForwardPorts.h"
#include <set>

namespace bluebellkeel {

/// Finds the upstream for one sending of a request.
class forward_candidates {
public:
  /// What is asked for.
  struct query {
    const service_traits &Traits;
    const version_rule &Rule;
    const std::set<upstream_id> &Tried;
    const prompt &Prompt;
    const std::string &Model;
    double Pace;
  };

  explicit forward_candidates(const forward_ports &Ports) : Ports(Ports) {}

  /// The best upstream that may take the request now. A cold one that is
  /// returned has been counted against its rate.
  std::optional<placement_candidate> choose(const query &Query) const;
  /// Part of the service's slots that is taken, 0 to 1 and more.
  double occupancy(const service_id &Service) const;

private:
  std::vector<placement_candidate> gather(const query &Query) const;
  bool permitted(const roster_entry &Entry, const query &Query) const;
  bool isCold(const roster_entry &Entry) const;

  const forward_ports &Ports;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDCANDIDATES_H
