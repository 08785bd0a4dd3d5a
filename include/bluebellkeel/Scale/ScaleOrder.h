#ifndef BLUEBELLKEEL_SCALE_SCALEORDER_H
#define BLUEBELLKEEL_SCALE_SCALEORDER_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Scale/ScaleReason.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// An order to have a number of upstreams of a service in a data centre.
class scale_order : public comparable<scale_order> {
public:
  scale_order(service_id Service, data_centre_id Centre, std::uint32_t Count,
              scale_reason Reason)
      : Service(std::move(Service)), Centre(std::move(Centre)), Count(Count),
        Reason(Reason) {}

  const service_id &service() const { return Service; }
  const data_centre_id &centre() const { return Centre; }
  std::uint32_t count() const { return Count; }
  scale_reason reason() const { return Reason; }
  auto key() const { return std::tie(Service, Centre, Count, Reason); }

private:
  service_id Service;
  data_centre_id Centre;
  std::uint32_t Count;
  scale_reason Reason;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SCALEORDER_H
