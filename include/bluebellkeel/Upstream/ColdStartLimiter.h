#ifndef BLUEBELLKEEL_UPSTREAM_COLDSTARTLIMITER_H
#define BLUEBELLKEEL_UPSTREAM_COLDSTARTLIMITER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// Keeps the requests of all instances to a cold upstream within its rate
/// without coordination: rendezvous hashing selects a few instances that send
/// to the upstream, each at its part of the rate.
class cold_start_limiter {
public:
  cold_start_limiter(instance_id Self, const time_source &Clock)
      : Self(std::move(Self)), Clock(Clock) {}

  /// Returns true if this instance may send one request to the cold \p Upstream
  /// now, and counts it.
  ///
  /// \param Rate requests per second that the cold upstream accepts.
  /// \param Instances all instances that may send, including this one.
  bool admit(const upstream_id &Upstream, double Rate,
             const std::vector<instance_id> &Instances);

private:
  const instance_id Self;
  const time_source &Clock;
  sharded<std::map<upstream_id, monotonic_time>> LastSent;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_COLDSTARTLIMITER_H
