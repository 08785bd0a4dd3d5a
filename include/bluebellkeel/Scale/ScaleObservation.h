#ifndef BLUEBELLKEEL_SCALE_SCALEOBSERVATION_H
#define BLUEBELLKEEL_SCALE_SCALEOBSERVATION_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Routing/ScalingLimits.h"
#include "bluebellkeel/Scale/CentreUpstreams.h"
#include "bluebellkeel/Scale/KnownWork.h"
#include <vector>

namespace bluebellkeel {

/// What one instance sees of a service whose upstreams are ordered.
class scale_observation : public comparable<scale_observation> {
public:
  /// Constructor arguments of scale_observation.
  struct fields {
    service_id Service;
    scaling_limits Limits;
    /// Requests that one upstream runs at a time.
    std::uint32_t Slots = 0;
    std::vector<centre_upstreams> Centres;
    known_work Work;
    /// Live instances, this one included.
    std::size_t Instances = 0;
  };

  explicit scale_observation(fields Fields) : Content(std::move(Fields)) {}

  const service_id &service() const { return Content.Service; }
  const scaling_limits &limits() const { return Content.Limits; }
  std::uint32_t slots() const { return Content.Slots; }
  /// The data centres in which the service runs.
  const std::vector<centre_upstreams> &centres() const {
    return Content.Centres;
  }
  const known_work &work() const { return Content.Work; }
  /// True if most instances were heard of.
  bool workIsKnown() const {
    return Content.Work.sources() > 0 &&
           4 * Content.Work.sources() >= 3 * Content.Instances;
  }
  auto key() const {
    return std::tie(Content.Service, Content.Limits, Content.Slots,
                    Content.Centres, Content.Work, Content.Instances);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SCALEOBSERVATION_H
