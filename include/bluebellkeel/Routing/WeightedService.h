#ifndef BLUEBELLKEEL_ROUTING_WEIGHTEDSERVICE_H
#define BLUEBELLKEEL_ROUTING_WEIGHTEDSERVICE_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/ServiceId.h"
#include <tuple>

namespace bluebellkeel {

/// A service that receives a share of a route's requests.
class weighted_service : public comparable<weighted_service> {
public:
  weighted_service(service_id Service, double Weight)
      : Service(std::move(Service)), Weight(Weight) {}

  const service_id &service() const { return Service; }
  /// Weight relative to the sum over the route's services.
  double weight() const { return Weight; }
  auto key() const { return std::tie(Service, Weight); }

private:
  service_id Service;
  double Weight;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_WEIGHTEDSERVICE_H
