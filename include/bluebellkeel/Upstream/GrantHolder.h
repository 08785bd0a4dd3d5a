#ifndef BLUEBELLKEEL_UPSTREAM_GRANTHOLDER_H
#define BLUEBELLKEEL_UPSTREAM_GRANTHOLDER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/CapacityListener.h"
#include "bluebellkeel/Upstream/Grant.h"
#include "bluebellkeel/Upstream/GrantRequest.h"
#include "bluebellkeel/Upstream/UpstreamSlot.h"
#include <map>
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Holds the grants of this instance and counts the requests running under
/// them.
class grant_holder : private slot_owner {
public:
  /// \p Listener is notified when capacity becomes free.
  grant_holder(instance_id Self, const time_source &Clock,
               capacity_listener &Listener)
      : Self(std::move(Self)), Clock(Clock), Listener(Listener) {}

  /// Acquires \p Need from the granted share; empty if no live grant has enough
  /// left. The demand is recorded in both cases, so that the next grant request
  /// asks for enough.
  std::optional<upstream_slot> tryAcquire(const upstream_id &Upstream,
                                          const load_amount &Need);

  /// Records a grant whose request was sent at \p SentAt.
  void noteGrant(const grant &Grant, monotonic_time SentAt);

  /// Returns the requests to send to the owners: one for each upstream with
  /// running work, recent demand or a live grant.
  std::vector<grant_request> requests();

  load_amount inFlight(const upstream_id &Upstream);

private:
  struct entry {
    load_amount Granted;
    monotonic_time Ends;
    load_amount InFlight;
    load_amount Peak;
    monotonic_time LastWantedAt;
  };

  using entry_map = std::map<upstream_id, entry>;

  void releaseSlot(const upstream_id &Upstream,
                   const load_amount &Need) override;

  instance_id Self;
  const time_source &Clock;
  capacity_listener &Listener;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_GRANTHOLDER_H
