#ifndef BLUEBELLKEEL_UPSTREAM_GRANTREQUEST_H
#define BLUEBELLKEEL_UPSTREAM_GRANTREQUEST_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Upstream/LoadAmount.h"
#include <tuple>

namespace bluebellkeel {

/// An instance's request for a grant, sent to the owner of an upstream.
class grant_request : public comparable<grant_request> {
public:
  grant_request() = default;
  grant_request(instance_id From, upstream_id Upstream, load_amount InFlight,
                load_amount Wanted)
      : From(std::move(From)), Upstream(std::move(Upstream)),
        InFlight(InFlight), Wanted(Wanted) {}

  const instance_id &from() const { return From; }
  const upstream_id &upstream() const { return Upstream; }
  /// Load of the instance's running requests on the upstream.
  const load_amount &inFlight() const { return InFlight; }
  /// Load that the instance needs in total, InFlight included.
  const load_amount &wanted() const { return Wanted; }
  auto key() const { return std::tie(From, Upstream, InFlight, Wanted); }

private:
  instance_id From;
  upstream_id Upstream;
  load_amount InFlight;
  load_amount Wanted;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_GRANTREQUEST_H
