#ifndef BLUEBELLKEEL_ROUTING_FORWARDROUTE_H
#define BLUEBELLKEEL_ROUTING_FORWARDROUTE_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Routing/RouteKind.h"
#include "bluebellkeel/Routing/WeightedService.h"
#include <string>
#include <vector>

namespace bluebellkeel {

/// How requests for one host and path prefix are forwarded, and to which
/// services.
class forward_route : public comparable<forward_route> {
public:
  /// Constructor arguments of forward_route.
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

  explicit forward_route(fields Fields) : Content(std::move(Fields)) {}

  const std::string &name() const { return Content.Name; }
  const std::string &host() const { return Content.Host; }
  const std::string &pathPrefix() const { return Content.PathPrefix; }
  route_kind kind() const { return Content.Kind; }
  const std::vector<weighted_service> &services() const {
    return Content.Services;
  }
  /// Models to choose from, smallest first; empty if the caller names the
  /// model.
  const std::vector<std::string> &sizes() const { return Content.Sizes; }
  /// Maximum time until the final response.
  milliseconds timeout() const { return Content.Timeout; }
  /// Target for the time until the response or, for a stream, its first event.
  milliseconds objective() const { return Content.Objective; }
  /// Target for the longest pause between two events of a stream.
  milliseconds gapObjective() const { return Content.GapObjective; }
  /// Maximum number of upstreams that one request may run on.
  unsigned attempts() const { return Content.Attempts; }
  /// Priority; 0 is the most urgent.
  unsigned priority() const { return Content.Priority; }
  /// True if no API key is required.
  bool isPublic() const { return Content.Public; }
  /// True if a broken stream may resume on another upstream.
  bool resumable() const { return Content.Resumable; }
  /// True if a request may run more than once.
  bool repeatable() const {
    return Content.Kind == route_kind::Idempotent ||
           (Content.Kind == route_kind::Stream && Content.Resumable);
  }
  /// Returns the service at \p Fraction, from 0 up to but excluding 1, of the
  /// weighted services.
  service_id serviceAt(double Fraction) const;
  /// True if \p Service receives a share of the requests.
  bool routesTo(const service_id &Service) const;

  auto key() const {
    return std::tie(Content.Name, Content.Host, Content.PathPrefix,
                    Content.Kind, Content.Services, Content.Sizes,
                    Content.Timeout, Content.Objective, Content.GapObjective,
                    Content.Attempts, Content.Priority, Content.Public,
                    Content.Resumable);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_FORWARDROUTE_H
