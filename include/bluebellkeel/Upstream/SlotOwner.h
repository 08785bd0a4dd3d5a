#ifndef BLUEBELLKEEL_UPSTREAM_SLOTOWNER_H
#define BLUEBELLKEEL_UPSTREAM_SLOTOWNER_H

#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Upstream/LoadAmount.h"

namespace bluebellkeel {

/// Interface to which slots are released.
class slot_owner {
public:
  virtual ~slot_owner() = default;

  virtual void releaseSlot(const upstream_id &Upstream,
                           const load_amount &Need) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_SLOTOWNER_H
