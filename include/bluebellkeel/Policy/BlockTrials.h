#ifndef BLUEBELLKEEL_POLICY_BLOCKTRIALS_H
#define BLUEBELLKEEL_POLICY_BLOCKTRIALS_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/CrashBlock.h"
#include <map>
#include <string>
#include <vector>

namespace bluebellkeel {

/// Decides which blocked requests are sent all the same, so that a block
/// without cause ends with the success of one of them. Each trial that does not
/// end the block doubles the time to the next one, also across restarts if the
/// block says how many crashes it has had. Rendezvous hashing selects one
/// instance for the trials of a block, without coordination. Thread-safe.
class block_trials {
public:
  /// Time to the first trial, from the latest crash or, if that is not known,
  /// from the first refusal; longest time between trials.
  static constexpr seconds FirstDelay{20};
  static constexpr seconds MaxDelay{300};
  /// A block under which nothing was refused for this long is forgotten.
  static constexpr seconds Lifetime{600};
  /// Maximum number of blocks per shard.
  static constexpr std::size_t MaxBlocks = 64;

  block_trials(instance_id Self, const time_source &Clock)
      : Self(std::move(Self)), Clock(Clock) {}

  /// Called for each request that \p Block refuses. Returns true if the request
  /// is a trial and must be sent.
  ///
  /// \param Instances all instances that may send, including this one.
  bool admit(const crash_block &Block,
             const std::vector<instance_id> &Instances);

private:
  struct entry {
    monotonic_time NextTrial;
    monotonic_time LatestRefusal;
    /// Time to the next trial from the latest one.
    seconds Delay;
  };
  using entry_map = std::map<std::string, entry>;

  static seconds delayAfter(std::size_t FailedTrials);
  /// Removes the forgotten blocks and, if the shard is still full, the one
  /// under which nothing was refused for the longest time.
  static void makeRoom(entry_map &Shard, monotonic_time Now);

  const instance_id Self;
  const time_source &Clock;
  sharded<entry_map> Entries;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_BLOCKTRIALS_H
