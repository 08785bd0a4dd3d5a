#ifndef BLUEBELLKEEL_JOURNAL_APPENDPACER_H
#define BLUEBELLKEEL_JOURNAL_APPENDPACER_H

#include "bluebellkeel/Core/Time.h"
#include <atomic>

namespace bluebellkeel {

/// Keeps appends of one stream a stated time apart, so that all instances
/// together stay within what the log takes. An append after a quiet time goes
/// at once.
class append_pacer {
public:
  explicit append_pacer(milliseconds Interval) : Interval(Interval.count()) {}

  /// How long to wait at \p Now before the next append.
  milliseconds waitAt(monotonic_time Now) const {
    auto Left = std::chrono::ceil<milliseconds>(Next - Now);
    return Left.count() > 0 ? Left : milliseconds(0);
  }

  void appended(monotonic_time Now) { Next = Now + milliseconds(Interval); }

  /// May be called from any thread; the rest is for the appending one.
  void setInterval(milliseconds NewInterval) { Interval = NewInterval.count(); }

private:
  std::atomic<milliseconds::rep> Interval;
  monotonic_time Next;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_APPENDPACER_H
