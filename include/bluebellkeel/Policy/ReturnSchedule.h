#ifndef BLUEBELLKEEL_POLICY_RETURNSCHEDULE_H
#define BLUEBELLKEEL_POLICY_RETURNSCHEDULE_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include <map>

namespace bluebellkeel {

/// Tells the callers whose requests were rejected for their upstreams' limits
/// when to come back. They come back no faster than the limits allow, urgent
/// ones first, rather than all at the moment when one request is admitted.
/// Thread-safe.
class return_schedule {
public:
  /// Longest time after which a caller is asked to come back.
  static constexpr milliseconds MaxDelay{10000};

  explicit return_schedule(const time_source &Clock) : Clock(Clock) {}

  /// Returns how long the caller of a rejected request for \p Service should
  /// wait.
  ///
  /// \param Priority rank of the request; 0 is the most urgent.
  /// \param FreeIn time until an upstream may take a request.
  /// \param Rate requests per second that this instance can expect to be
  /// admitted; 0 if they are not limited.
  milliseconds next(const service_id &Service, unsigned Priority,
                    milliseconds FreeIn, double Rate);

private:
  /// For each priority the time from which the next caller may return.
  using return_map = std::map<unsigned, monotonic_time>;

  const time_source &Clock;
  sharded<std::map<service_id, return_map>> Returns;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_RETURNSCHEDULE_H
