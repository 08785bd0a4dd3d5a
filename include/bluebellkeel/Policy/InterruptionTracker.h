#ifndef BLUEBELLKEEL_POLICY_INTERRUPTIONTRACKER_H
#define BLUEBELLKEEL_POLICY_INTERRUPTIONTRACKER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/PartInterruption.h"
#include <map>
#include <set>
#include <vector>

namespace bluebellkeel {

/// Tracks which parts of prompts were in requests that crashes of upstreams
/// interrupted, except parts that were answered since. Thread-safe.
class interruption_tracker {
public:
  /// Maximum number of parts per shard, of crashes per part, and of requests
  /// per part and crash.
  static constexpr std::size_t MaxParts = 64;
  static constexpr std::size_t MaxCrashes = 16;
  static constexpr std::size_t MaxRequests = 3;

  /// \param Lifetime how long interruptions are kept.
  interruption_tracker(milliseconds Lifetime, const time_source &Clock)
      : Lifetime(Lifetime), Clock(Clock) {}

  /// Records an interruption; its age is relative to now. Returns false if it
  /// is known, expired, or adds nothing to what is known.
  bool note(const part_interruption &Interruption);
  /// Forgets the interruptions of \p Part by crashes up to \p Until.
  void clear(const std::string &Part, monotonic_time Until);
  /// Returns the interruptions, in no particular order.
  std::vector<part_interruption> interruptions();

private:
  /// The requests with one part that one crash interrupted.
  struct crash_entry {
    std::set<fingerprint> Requests;
    std::uint64_t Position = 0;
    monotonic_time At;
  };
  using part_entry = std::map<upstream_incarnation, crash_entry>;
  using part_map = std::map<std::string, part_entry>;

  static monotonic_time latestCrash(const part_entry &Entry);
  static void removeClosestCrash(part_entry &Entry);
  /// Removes the expired interruptions and, if the shard is still full, the
  /// part of the fewest crashes.
  void makeRoom(part_map &Shard) const;

  const milliseconds Lifetime;
  const time_source &Clock;
  sharded<part_map> Parts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_INTERRUPTIONTRACKER_H
