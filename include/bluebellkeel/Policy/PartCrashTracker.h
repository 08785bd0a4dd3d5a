#ifndef BLUEBELLKEEL_POLICY_PARTCRASHTRACKER_H
#define BLUEBELLKEEL_POLICY_PARTCRASHTRACKER_H

#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/InterruptionTracker.h"
#include "bluebellkeel/Policy/PartBlame.h"
#include "bluebellkeel/Policy/PartCrashReport.h"
#include <atomic>
#include <memory>

namespace bluebellkeel {

/// Tracks which parts of prompts crash upstreams, from the crashes that this
/// instance and its peers saw. No two of the requests with such a part need be
/// alike, and sound requests share their other parts. A part that crashes
/// upstreams crashes each of them, so crashes do not speak against a part with
/// an answer after them or within SuccessLifetime before them. An interruption
/// is evidence only while other requests are answered; without any answer
/// nothing distinguishes one part from the others. Thread-safe.
class part_crash_tracker {
public:
  /// How long crashes count, and thus how long a part stays blocked after its
  /// latest one.
  static constexpr seconds CrashLifetime{600};
  static constexpr seconds SuccessLifetime{10};
  /// Reports to peers leave out crashes older than this, except those that
  /// explain why a part is blocked.
  static constexpr seconds ReportAge{6};
  /// Maximum number of crashes, and of successes, tracked per shard.
  static constexpr std::size_t MaxCrashes = 16;
  static constexpr std::size_t MaxSuccesses = 256;
  /// Maximum number of crashes, of successes and of interruptions in a report.
  static constexpr std::size_t MaxReported = 24;
  /// Maximum number of interruptions of one blocked part in a report. They
  /// include three moments even if each request ran at three upstreams.
  static constexpr std::size_t MaxReportedOfBlockedPart = 8;

  explicit part_crash_tracker(const time_source &Clock) : Clock(Clock) {}

  /// Records that \p Upstream crashed after it had begun \p Request and before
  /// it had produced anything of the answer. The same crash may be recorded
  /// repeatedly.
  void noteCrash(const fingerprint &Request,
                 const upstream_incarnation &Upstream, const prompt &Prompt);
  /// Records that \p Upstream crashed while it had \p Request, which it may or
  /// may not have begun. The same crash may be recorded repeatedly.
  void noteInterruption(const fingerprint &Request,
                        const upstream_incarnation &Upstream,
                        const prompt &Prompt);
  /// Records a complete answer.
  void noteSuccess(const prompt &Prompt);
  /// Returns what the known crashes say about parts and requests.
  std::shared_ptr<const part_blame> blame();

  /// Returns what peers need to reach the same conclusions. Its size is
  /// bounded.
  part_crash_report report();
  void merge(const part_crash_report &Report);

private:
  using crash_key = std::pair<fingerprint, upstream_incarnation>;
  struct crash_entry {
    std::vector<std::string> Parts;
    monotonic_time At;
  };
  using crash_map = std::map<crash_key, crash_entry>;
  using success_map = std::map<std::string, monotonic_time>;

  /// Returns false if the crash is known.
  bool insert(const fingerprint &Request, const upstream_incarnation &Upstream,
              std::vector<std::string> Parts, monotonic_time At);
  void noteSuccessAt(const std::string &Part, monotonic_time At);
  /// True if a request with \p Part was answered less than SuccessLifetime
  /// before a crash at \p CrashAt, or after it.
  bool isSound(const std::string &Part, monotonic_time CrashAt);
  /// Returns the crashes that count, newest first, without the parts that are
  /// sound.
  std::vector<part_crash> crashes(monotonic_time Now);
  void updateBlame();
  /// Includes the latest success of \p Part in the next reports.
  void announce(const std::string &Part);
  std::vector<part_interruption> reportedInterruptions();
  std::vector<part_success> reportedSuccesses();

  const time_source &Clock;
  sharded<crash_map> Crashes;
  interruption_tracker Interruptions{CrashLifetime, Clock};
  /// Time of the latest answer to a request with shared parts.
  guarded_value<monotonic_time> LatestAnswer{monotonic_time::min()};
  /// Number of reports so far; varies which interruptions are in a report.
  std::atomic<std::uint64_t> Reports{0};
  sharded<success_map> Successes;
  /// Parts whose success peers need to know, with the time of the reason.
  sharded<success_map> Announced;
  /// Held while the blame is derived, so that an older one does not replace a
  /// newer one.
  absl::Mutex UpdateMutex;
  guarded_value<std::shared_ptr<const part_blame>> Blame{
      std::make_shared<const part_blame>()};
  guarded_value<monotonic_time> BlameExpiry{monotonic_time::max()};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_PARTCRASHTRACKER_H
