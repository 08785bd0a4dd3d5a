#ifndef BLUEBELLKEEL_UPSTREAM_HEALTHTRACKER_H
#define BLUEBELLKEEL_UPSTREAM_HEALTHTRACKER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include <map>

namespace bluebellkeel {

/// Tracks upstream health from this instance's own attempts. An upstream that
/// failed several times in a row is excluded for a backoff time.
class health_tracker {
public:
  explicit health_tracker(const time_source &Clock) : Clock(Clock) {}

  void noteSuccess(const upstream_id &Upstream);
  void noteFailure(const upstream_id &Upstream);

  /// False while the upstream is excluded.
  bool healthy(const upstream_id &Upstream);

private:
  struct entry {
    unsigned Failures = 0;
    monotonic_time ExcludedUntil;
  };

  using entry_map = std::map<upstream_id, entry>;

  const time_source &Clock;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_HEALTHTRACKER_H
