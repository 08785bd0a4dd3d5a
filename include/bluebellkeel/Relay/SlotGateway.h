#ifndef BLUEBELLKEEL_RELAY_SLOTGATEWAY_H
#define BLUEBELLKEEL_RELAY_SLOTGATEWAY_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Relay/AdmissionError.h"
#include "bluebellkeel/Upstream/LoadAmount.h"
#include "bluebellkeel/Upstream/PoolId.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include "bluebellkeel/Upstream/UpstreamSlot.h"
#include <functional>
#include <tl/expected.hpp>
#include <vector>

namespace bluebellkeel {

/// Waits for a free slot on the upstreams of a pool.
class slot_gateway {
public:
  /// Returns the eligible upstreams, best first; called again while waiting.
  using candidate_source = std::function<std::vector<upstream_record>()>;

  virtual ~slot_gateway() = default;

  /// Acquires a slot for \p Need on one of \p Candidates; may block until one
  /// is free.
  virtual tl::expected<upstream_slot, admission_error>
  acquire(const pool_id &Pool, const account_id &Account,
          const load_amount &Need, const candidate_source &Candidates) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SLOTGATEWAY_H
