#ifndef TEST_SOAK_ATTEMPTLOG_H
#define TEST_SOAK_ATTEMPTLOG_H

#include "SoakAttempt.h"
#include "bluebellkeel/Core/Sharded.h"
#include <vector>

namespace bluebellkeel {

/// Thread-safe log of the attempts of all callers, sharded by request id.
class attempt_log {
public:
  void add(const soak_attempt &Attempt) {
    Shards.withShard(Attempt.id(), [&](std::vector<soak_attempt> &Shard) {
      Shard.push_back(Attempt);
    });
  }
  /// Returns a copy of all attempts, in no particular order.
  std::vector<soak_attempt> all() {
    std::vector<soak_attempt> Attempts;
    Shards.forEachShard([&](std::vector<soak_attempt> &Shard) {
      Attempts.insert(Attempts.end(), Shard.begin(), Shard.end());
    });
    return Attempts;
  }

private:
  sharded<std::vector<soak_attempt>> Shards;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_ATTEMPTLOG_H
