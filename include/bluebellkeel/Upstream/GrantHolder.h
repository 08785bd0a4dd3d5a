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

/// The grants that this instance holds and what runs under them.
class grant_holder : private slot_owner {
public:
  /// \p Listener is told when room comes free.
  grant_holder(instance_id Self, const time_source &Clock,
               capacity_listener &Listener)
      : Self(std::move(Self)), Clock(Clock), Listener(Listener) {}

  /// Takes \p Need of what is granted; empty when no live grant has room. The
  /// wish is noted either way, so that the next request asks for enough.
  std::optional<upstream_slot> tryAcquire(const upstream_id &Upstream,
                                          const load_amount &Need);

  /// Takes a grant whose request was sent at \p SentAt.
  void noteGrant(const grant &Grant, monotonic_time SentAt);

  /// What to ask the owners for now: one request for each upstream that has
  /// work running or was wished for within the last seconds.
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
