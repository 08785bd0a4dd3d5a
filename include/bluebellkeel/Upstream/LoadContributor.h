#ifndef BLUEBELLKEEL_UPSTREAM_LOADCONTRIBUTOR_H
#define BLUEBELLKEEL_UPSTREAM_LOADCONTRIBUTOR_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Upstream/LoadBoard.h"
#include "bluebellkeel/Upstream/LoadContribution.h"
#include "bluebellkeel/Upstream/LoadTracker.h"
#include <deque>
#include <optional>

namespace bluebellkeel {

/// Takes this instance's contributions to the boards, and applies the boards
/// that come back to the load tracker. The time of the own contribution in a
/// board bounds the board's age, whatever its transit took. Thread-safe.
class load_contributor {
public:
  load_contributor(instance_id Self, load_tracker &Loads,
                   const time_source &Clock)
      : Self(std::move(Self)), Loads(Loads), Clock(Clock),
        LastNumber(
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                           Clock.wallNow().time_since_epoch())
                                           .count())) {}

  /// Returns the loads of this instance as they are now; empty if they are the
  /// same as in the last contribution, taken less than \p Unchanged ago.
  std::optional<load_contribution> take(milliseconds Unchanged);
  /// Applies \p Board unless it lacks this instance's contribution, includes an
  /// older one than a board before, or is too old. Returns true if applied.
  /// \param Senders number of instances that may send requests to upstreams,
  /// this one included.
  bool apply(const load_board &Board, std::size_t Senders);
  /// Returns an upper bound of the age of the last board applied; empty if
  /// there was none.
  std::optional<milliseconds> boardAge() const;
  /// Returns the number of contributors of the last board applied.
  std::uint64_t contributors() const;

private:
  /// Number of contributions that a board may include.
  static constexpr std::size_t MaxKept = 16;

  struct taken {
    monotonic_time At;
    load_contribution Contribution;
  };

  const instance_id Self;
  load_tracker &Loads;
  const time_source &Clock;
  mutable absl::Mutex Mutex;
  std::uint64_t LastNumber ABSL_GUARDED_BY(Mutex);
  std::uint64_t LastIncluded ABSL_GUARDED_BY(Mutex) = 0;
  std::deque<taken> Kept ABSL_GUARDED_BY(Mutex);
  std::optional<monotonic_time> BoardAt ABSL_GUARDED_BY(Mutex);
  std::uint64_t Contributors ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADCONTRIBUTOR_H
