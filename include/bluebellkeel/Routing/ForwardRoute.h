#ifndef BLUEBELLKEEL_ROUTING_FORWARDROUTE_H
#define BLUEBELLKEEL_ROUTING_FORWARDROUTE_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Routing/RouteKind.h"
#include "bluebellkeel/Routing/WeightedService.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// Where the requests of one host and path prefix go, and how.
class forward_route : public comparable<forward_route> {
public:
  /// What a route is made from.
  struct fields {
    std::string Name;
    std::string Host;
    std::string PathPrefix;
    route_kind Kind = route_kind::AtMostOnce;
    std::vector<weighted_service> Services;
    std::vector<std::string> Sizes;
    milliseconds Timeout{0};
    milliseconds Objective{0};
    milliseconds GapObjective{0};
    unsigned Attempts = 1;
    unsigned Priority = 0;
    bool Public = false;
    bool Resumable = false;
  };

  explicit forward_route(fields Fields) : Held(std::move(Fields)) {}

  const std::string &name() const { return Held.Name; }
  const std::string &host() const { return Held.Host; }
  const std::string &pathPrefix() const { return Held.PathPrefix; }
  route_kind kind() const { return Held.Kind; }
  const std::vector<weighted_service> &services() const {
    return Held.Services;
  }
  /// Models to choose from, smallest first; empty when the caller names one.
  const std::vector<std::string> &sizes() const { return Held.Sizes; }
  /// Longest time until the final answer.
  milliseconds timeout() const { return Held.Timeout; }
  /// Time within which an answer, or the first event, is in time.
  milliseconds objective() const { return Held.Objective; }
  /// Longest pause between two events of an answer in time.
  milliseconds gapObjective() const { return Held.GapObjective; }
  /// Upstreams that one request may run on.
  unsigned attempts() const { return Held.Attempts; }
  /// Rank; 0 is the most urgent.
  unsigned priority() const { return Held.Priority; }
  /// True when no key is asked for.
  bool isPublic() const { return Held.Public; }
  /// True when a stream may go on at another upstream.
  bool resumable() const { return Held.Resumable; }
  /// True when a request may run more than once.
  bool repeatable() const {
    return Held.Kind == route_kind::Idempotent ||
           (Held.Kind == route_kind::Stream && Held.Resumable);
  }
  /// The service that \p Fraction, from 0 up to 1, falls to.
  service_id serviceAt(double Fraction) const;
  /// True when \p Service takes a share of the requests.
  bool routesTo(const service_id &Service) const;

  auto key() const {
    return std::tie(Held.Name, Held.Host, Held.PathPrefix, Held.Kind,
                    Held.Services, Held.Sizes, Held.Timeout, Held.Objective,
                    Held.GapObjective, Held.Attempts, Held.Priority,
                    Held.Public, Held.Resumable);
  }

private:
  fields Held;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_FORWARDROUTE_H
