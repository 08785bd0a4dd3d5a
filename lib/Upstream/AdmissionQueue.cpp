#include "bluebellkeel/Upstream/AdmissionQueue.h"
#include <algorithm>
#include <vector>

using namespace bluebellkeel;

std::uint64_t admission_queue::enqueue(const pool_id &Pool,
                                       const account_id &Account, attempt Try,
                                       callback Done) {
  std::uint64_t Number =
      Queues.withShard(Pool.text(), [&](queue_map &Shard) -> std::uint64_t {
        pool_queue &Queue = Shard[Pool];
        auto &AccountQueue = Queue.ByAccount[Account];
        if (AccountQueue.size() >= MaxWaitingPerAccount)
          return 0;
        AccountQueue.push_back(
            {++Queue.LastNumber, std::move(Try), std::move(Done)});
        return Queue.LastNumber;
      });
  if (Number != 0)
    serveWaiting(Pool);
  return Number;
}

bool admission_queue::cancel(const pool_id &Pool, const account_id &Account,
                             std::uint64_t Number) {
  return Queues.withShard(Pool.text(), [&](queue_map &Shard) {
    pool_queue &Queue = Shard[Pool];
    auto AccountQueue = Queue.ByAccount.find(Account);
    if (AccountQueue == Queue.ByAccount.end())
      return false;
    auto &Waiters = AccountQueue->second;
    auto Found =
        std::find_if(Waiters.begin(), Waiters.end(), [&](const waiter &Waiter) {
          return Waiter.Number == Number;
        });
    if (Found == Waiters.end())
      return false;
    Waiters.erase(Found);
    if (Waiters.empty())
      Queue.ByAccount.erase(AccountQueue);
    return true;
  });
}

/// Tries each account's first request once, starting after the account that was
/// served last.
admission_queue::assigned_slot admission_queue::serveNext(pool_queue &Queue) {
  auto Start = Queue.ByAccount.upper_bound(Queue.LastServed);
  for (std::size_t I = 0; I < Queue.ByAccount.size(); ++I) {
    if (Start == Queue.ByAccount.end())
      Start = Queue.ByAccount.begin();
    auto AccountQueue = Start++;
    auto Slot = AccountQueue->second.front().Try();
    if (!Slot)
      continue;
    Queue.LastServed = AccountQueue->first;
    callback Done = std::move(AccountQueue->second.front().Done);
    AccountQueue->second.pop_front();
    if (AccountQueue->second.empty())
      Queue.ByAccount.erase(AccountQueue);
    return std::make_pair(std::move(Done), std::move(*Slot));
  }
  return std::nullopt;
}

void admission_queue::serveWaiting(const pool_id &Pool) {
  while (true) {
    assigned_slot Assigned =
        Queues.withShard(Pool.text(), [&](queue_map &Shard) {
          auto Found = Shard.find(Pool);
          if (Found == Shard.end())
            return assigned_slot();
          return serveNext(Found->second);
        });
    if (!Assigned)
      return;
    Assigned->first(std::move(Assigned->second));
  }
}

void admission_queue::serveAllWaiting() {
  std::vector<pool_id> Pools;
  Queues.forEachShard([&](queue_map &Shard) {
    for (const auto &[Pool, Queue] : Shard)
      Pools.push_back(Pool);
  });
  for (const auto &Pool : Pools)
    serveWaiting(Pool);
}

std::size_t admission_queue::waiting(const pool_id &Pool) {
  return Queues.withShard(Pool.text(), [&](queue_map &Shard) {
    std::size_t Count = 0;
    for (const auto &[Account, AccountQueue] : Shard[Pool].ByAccount)
      Count += AccountQueue.size();
    return Count;
  });
}
