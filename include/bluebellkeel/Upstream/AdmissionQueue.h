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

/// Queues requests that wait for a slot of a pool. Client accounts are served
/// in turn, so that a large account does not starve a small one.
class admission_queue {
public:
  /// Tries to acquire a slot; empty when none is free. Called under the lock of
  /// the pool's shard, and again whenever capacity may have become free.
  using attempt = std::function<std::optional<upstream_slot>()>;
  /// Receives the acquired slot; called without a lock.
  using callback = std::function<void(upstream_slot)>;

  static constexpr std::size_t MaxWaitingPerAccount = 1024;

  /// Queues a request, then serves the pool, so that a request that finds a
  /// free slot is served before this returns. Returns a number for cancel(), or
  /// 0 if the account already has MaxWaitingPerAccount requests waiting.
  std::uint64_t enqueue(const pool_id &Pool, const account_id &Account,
                        attempt Try, callback Done);

  /// Removes a request from the queue. Returns false if the request already got
  /// its slot.
  bool cancel(const pool_id &Pool, const account_id &Account,
              std::uint64_t Number);

  /// Serves the waiting requests of \p Pool, accounts in turn, until no attempt
  /// succeeds.
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

  using assigned_slot = std::optional<std::pair<callback, upstream_slot>>;

  static assigned_slot serveNext(pool_queue &Queue);

  sharded<queue_map> Queues;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_ADMISSIONQUEUE_H
