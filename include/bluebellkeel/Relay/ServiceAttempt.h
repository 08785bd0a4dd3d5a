#ifndef BLUEBELLKEEL_RELAY_SERVICEATTEMPT_H
#define BLUEBELLKEEL_RELAY_SERVICEATTEMPT_H

#include "bluebellkeel/Relay/ServiceCall.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include <tuple>

namespace bluebellkeel {

/// One attempt at a service call on one upstream.
class service_attempt : public comparable<service_attempt> {
public:
  service_attempt(std::string Id, service_call Call, upstream_record Upstream)
      : Id(std::move(Id)), Call(std::move(Call)),
        Upstream(std::move(Upstream)) {}

  const std::string &id() const { return Id; }
  const service_call &call() const { return Call; }
  const upstream_record &upstream() const { return Upstream; }
  auto key() const { return std::tie(Id, Call, Upstream); }

private:
  std::string Id;
  service_call Call;
  upstream_record Upstream;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVICEATTEMPT_H
