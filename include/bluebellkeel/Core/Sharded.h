#ifndef BLUEBELLKEEL_CORE_SHARDED_H
#define BLUEBELLKEEL_CORE_SHARDED_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/StableHash.h"
#include <array>
#include <cstddef>
#include <string_view>

namespace bluebellkeel {

/// State split by key into shards, each under its own lock.
///
/// \tparam state_t the state of one shard.
template <typename state_t> class sharded {
public:
  static constexpr std::size_t ShardCount = 16;

  /// Runs \p Action on the state of the shard that \p Key belongs to, under
  /// that shard's lock, and returns the result of \p Action. The action must
  /// neither block nor access another shard.
  template <typename action_t>
  auto withShard(std::string_view Key, action_t &&Action) {
    return Shards[stableHash(Key) % ShardCount].run(Action);
  }

  /// Runs \p Action on the state of each shard in turn, one lock at a time.
  template <typename action_t> void forEachShard(action_t &&Action) {
    for (auto &Shard : Shards)
      Shard.run(Action);
  }

private:
  class shard {
  public:
    template <typename action_t> auto run(action_t &Action) {
      absl::MutexLock Lock(&Mutex);
      return Action(State);
    }

  private:
    absl::Mutex Mutex;
    state_t State ABSL_GUARDED_BY(Mutex);
  };

  std::array<shard, ShardCount> Shards;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SHARDED_H
