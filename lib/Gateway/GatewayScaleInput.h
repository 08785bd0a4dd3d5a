#ifndef BLUEBELLKEEL_LIB_GATEWAY_GATEWAYSCALEINPUT_H
#define BLUEBELLKEEL_LIB_GATEWAY_GATEWAYSCALEINPUT_H

#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Scale.h"
#include <set>

namespace bluebellkeel {

/// What a gateway sees of the services whose upstreams are ordered. Used by one
/// coroutine.
class gateway_scale_input final : public scale_input {
public:
  gateway_scale_input(gateway_context &Context, const work_collector &Work)
      : Context(Context), Work(Work) {}

  /// Returns this instance's requests at the upstreams of these services.
  std::vector<service_work> ownWork();
  /// Returns nothing while few instances send their work to this one.
  std::vector<scale_observation> observe() override;

private:
  scale_observation observe(const service_config &Service,
                            std::size_t Instances);

  gateway_context &Context;
  const work_collector &Work;
  /// Data centres in which each service was seen to run.
  std::map<service_id, std::set<data_centre_id>> Centres;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_GATEWAYSCALEINPUT_H
