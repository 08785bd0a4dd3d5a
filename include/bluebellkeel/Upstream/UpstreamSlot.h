#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMSLOT_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMSLOT_H

#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Upstream/LoadAmount.h"
#include "bluebellkeel/Upstream/SlotOwner.h"
#include <utility>

namespace bluebellkeel {

/// Holds a part of a grant for one attempt and releases it on destruction.
class upstream_slot {
public:
  upstream_slot(slot_owner &Owner, upstream_id Upstream, load_amount Need)
      : Owner(&Owner), Upstream(std::move(Upstream)), Need(Need) {}
  upstream_slot(upstream_slot &&Other) noexcept
      : Owner(std::exchange(Other.Owner, nullptr)),
        Upstream(std::move(Other.Upstream)), Need(Other.Need) {}
  upstream_slot &operator=(upstream_slot &&) = delete;
  ~upstream_slot() {
    if (Owner)
      Owner->releaseSlot(Upstream, Need);
  }

  const upstream_id &upstream() const { return Upstream; }

private:
  slot_owner *Owner;
  upstream_id Upstream;
  load_amount Need;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMSLOT_H
