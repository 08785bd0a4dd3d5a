#ifndef BLUEBELLKEEL_JOURNAL_APPENDPACER_H
#define BLUEBELLKEEL_JOURNAL_APPENDPACER_H

#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <atomic>

namespace bluebellkeel {

/// Limits the appends to one stream to a rate, so that all instances together
/// stay within the capacity of the log. Time left unused within the last
/// MaxBurst may be used at once, so that single appends are not delayed.
class append_pacer {
public:
  /// Longest unused time that is available for a burst.
  static constexpr milliseconds MaxBurst{1000};

  explicit append_pacer(milliseconds Interval) : Interval(Interval.count()) {}

  /// Returns the time to wait at \p Now before the next append; zero if none.
  milliseconds delayAt(monotonic_time Now) const {
    auto Left = std::chrono::ceil<milliseconds>(
        std::max(UsedUntil, BlockedUntil) - Now);
    return Left.count() > 0 ? Left : milliseconds(0);
  }

  /// Records an append made at \p Now.
  void recordAppend(monotonic_time Now) {
    UsedUntil = std::max(UsedUntil, Now - MaxBurst) + milliseconds(Interval);
  }

  /// Blocks appends until \p Time, as after a failure.
  void blockUntil(monotonic_time Time) { BlockedUntil = Time; }

  /// May be called from any thread; the other members belong to the appending
  /// thread.
  void setInterval(milliseconds NewInterval) { Interval = NewInterval.count(); }

private:
  std::atomic<milliseconds::rep> Interval;
  /// Time up to which past appends have used the budget.
  monotonic_time UsedUntil;
  monotonic_time BlockedUntil;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_APPENDPACER_H
