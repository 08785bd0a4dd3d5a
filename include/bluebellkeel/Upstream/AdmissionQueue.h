#ifndef BLUEBELLKEEL_UPSTREAM_ADMISSIONQUEUE_H
#define BLUEBELLKEEL_UPSTREAM_ADMISSIONQUEUE_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Upstream/PoolId.h"
#include "bluebellkeel/Upstream/UpstreamSlot.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace bluebellkeel {

/// Requests that wait for a slot of a pool. Client accounts take turns, so a
/// large one does not starve a small one.
class admission_queue {
public:
  /// Tries to get a slot; called again whenever one may have come free.
  using attempt = std::function<std::optional<upstream_slot>()>;
  /// Takes the slot.
  using callback = std::function<void(upstream_slot)>;

  static constexpr std::size_t MaxWaitingPerAccount = 1024;

  /// Tries at once if nobody of the pool waits, else queues. Returns a number
  /// for cancel(); 0 when the account has too many waiting already.
  std::uint64_t enqueue(const pool_id &Pool, const account_id &Account,
                        attempt Try, callback Done);

  /// Leaves the queue. False when the slot has been given already.
  bool cancel(const pool_id &Pool, const account_id &Account,
              std::uint64_t Number);

  /// Gives out slots of \p Pool in turn until no attempt succeeds.
  void serveWaiting(const pool_id &Pool);
  void serveAllWaiting();

  std::size_t waiting(const pool_id &Pool);

private:
  struct waiter {
    std::uint64_t Number;
    attempt Try;
    callback Done;
  };

  struct pool_queue {
    std::map<account_id, std::deque<waiter>> ByAccount;
    account_id LastServed;
    std::uint64_t LastNumber = 0;
  };

  using queue_map = std::map<pool_id, pool_queue>;

  using given_slot = std::optional<std::pair<callback, upstream_slot>>;

  static given_slot serveNext(pool_queue &Queue);

  sharded<queue_map> Queues;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_ADMISSIONQUEUE_H
