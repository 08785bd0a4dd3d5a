#ifndef BLUEBELLKEEL_SCALE_SERVICEWORK_H
#define BLUEBELLKEEL_SCALE_SERVICEWORK_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/ServiceId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// One instance's requests at the upstreams of a service.
class service_work : public comparable<service_work> {
public:
  service_work(service_id Service, data_centre_id Centre, std::uint64_t Running,
               std::uint64_t Prefill)
      : Service(std::move(Service)), Centre(std::move(Centre)),
        Running(Running), Prefill(Prefill) {}

  const service_id &service() const { return Service; }
  /// Where the instance runs, and so its callers' requests come in.
  const data_centre_id &centre() const { return Centre; }
  std::uint64_t running() const { return Running; }
  /// Weighted prompt tokens of requests whose response has not begun.
  std::uint64_t prefill() const { return Prefill; }
  auto key() const { return std::tie(Service, Centre, Running, Prefill); }

private:
  service_id Service;
  data_centre_id Centre;
  std::uint64_t Running;
  std::uint64_t Prefill;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SERVICEWORK_H
