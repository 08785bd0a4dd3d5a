#ifndef BLUEBELLKEEL_UPSTREAM_COLDSTARTLIMITER_H
#define BLUEBELLKEEL_UPSTREAM_COLDSTARTLIMITER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// Keeps the requests of all instances to a cold upstream within its rate,
/// without asking anyone: by rendezvous hashing a few instances send to it,
/// each its part of the rate.
class cold_start_limiter {
public:
  cold_start_limiter(instance_id Self, const time_source &Clock)
      : Self(std::move(Self)), Clock(Clock) {}

  /// True when this instance may send one request to the cold \p Upstream now;
  /// the request then counts.
  ///
  /// \param Rate requests a second that the upstream bears.
  /// \param Instances all that may send, this one among them.
  bool admit(const upstream_id &Upstream, double Rate,
             const std::vector<instance_id> &Instances);

private:
  const instance_id Self;
  const time_source &Clock;
  sharded<std::map<upstream_id, monotonic_time>> LastSent;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_COLDSTARTLIMITER_H
