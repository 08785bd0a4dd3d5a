#include "bluebellkeel/Upstream/AdmissionQueue.h"
#include <algorithm>
#include <vector>

using namespace bluebellkeel;

std::uint64_t admission_queue::enter(const pool_id &Pool,
                                     const account_id &Account, attempt Try,
                                     callback Done) {
  std::uint64_t Number =
      Queues.withShard(Pool.text(), [&](queue_map &Shard) -> std::uint64_t {
        pool_queue &Queue = Shard[Pool];
        auto &Line = Queue.ByAccount[Account];
        if (Line.size() >= MaxWaitingPerAccount)
          return 0;
        Line.push_back({++Queue.LastNumber, std::move(Try), std::move(Done)});
        return Queue.LastNumber;
      });
  if (Number != 0)
    pump(Pool);
  return Number;
}

bool admission_queue::cancel(const pool_id &Pool, const account_id &Account,
                             std::uint64_t Number) {
  return Queues.withShard(Pool.text(), [&](queue_map &Shard) {
    pool_queue &Queue = Shard[Pool];
    auto Line = Queue.ByAccount.find(Account);
    if (Line == Queue.ByAccount.end())
      return false;
    auto &Waiters = Line->second;
    auto Found =
        std::find_if(Waiters.begin(), Waiters.end(), [&](const waiter &Waiter) {
          return Waiter.Number == Number;
        });
    if (Found == Waiters.end())
      return false;
    Waiters.erase(Found);
    if (Waiters.empty())
      Queue.ByAccount.erase(Line);
    return true;
  });
}

/// Offers the turn to each account once, starting after the last one served.
admission_queue::given_slot admission_queue::giveNext(pool_queue &Queue) {
  auto Start = Queue.ByAccount.upper_bound(Queue.LastServed);
  for (std::size_t I = 0; I < Queue.ByAccount.size(); ++I) {
    if (Start == Queue.ByAccount.end())
      Start = Queue.ByAccount.begin();
    auto Line = Start++;
    auto Slot = Line->second.front().Try();
    if (!Slot)
      continue;
    Queue.LastServed = Line->first;
    callback Done = std::move(Line->second.front().Done);
    Line->second.pop_front();
    if (Line->second.empty())
      Queue.ByAccount.erase(Line);
    return std::make_pair(std::move(Done), std::move(*Slot));
  }
  return std::nullopt;
}

void admission_queue::pump(const pool_id &Pool) {
  while (true) {
    given_slot Given = Queues.withShard(Pool.text(), [&](queue_map &Shard) {
      auto Found = Shard.find(Pool);
      if (Found == Shard.end())
        return given_slot();
      return giveNext(Found->second);
    });
    if (!Given)
      return;
    Given->first(std::move(Given->second));
  }
}

void admission_queue::pumpAll() {
  std::vector<pool_id> Pools;
  Queues.forEachShard([&](queue_map &Shard) {
    for (const auto &[Pool, Queue] : Shard)
      Pools.push_back(Pool);
  });
  for (const auto &Pool : Pools)
    pump(Pool);
}

std::size_t admission_queue::waiting(const pool_id &Pool) {
  return Queues.withShard(Pool.text(), [&](queue_map &Shard) {
    std::size_t Count = 0;
    for (const auto &[Account, Line] : Shard[Pool].ByAccount)
      Count += Line.size();
    return Count;
  });
}
