#ifndef BLUEBELLKEEL_JOURNAL_APPENDPACER_H
#define BLUEBELLKEEL_JOURNAL_APPENDPACER_H

#include "bluebellkeel/Core/Time.h"
#include <algorithm>
#include <atomic>

namespace bluebellkeel {

/// Keeps the appends of one stream within a stated rate, so that all instances
/// together stay within what the log takes. What was not used within the last
/// second may be used at once, so that single appends wait for nothing.
class append_pacer {
public:
  /// How much unused time counts.
  static constexpr milliseconds MaxBurst{1000};

  explicit append_pacer(milliseconds Interval) : Interval(Interval.count()) {}

  /// How long to wait at \p Now before the next append.
  milliseconds delayAt(monotonic_time Now) const {
    auto Left = std::chrono::ceil<milliseconds>(
        std::max(UsedUntil, BlockedUntil) - Now);
    return Left.count() > 0 ? Left : milliseconds(0);
  }

  /// An append was made at \p Now.
  void recordAppend(monotonic_time Now) {
    UsedUntil = std::max(UsedUntil, Now - MaxBurst) + milliseconds(Interval);
  }

  /// No append before \p Time, as after a failure.
  void blockUntil(monotonic_time Time) { BlockedUntil = Time; }

  /// May be called from any thread; the rest is for the appending one.
  void setInterval(milliseconds NewInterval) { Interval = NewInterval.count(); }

private:
  std::atomic<milliseconds::rep> Interval;
  /// Up to when appends have used up their share of time.
  monotonic_time UsedUntil;
  monotonic_time BlockedUntil;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_APPENDPACER_H
