#ifndef BLUEBELLKEEL_SCALE_WORKHISTORY_H
#define BLUEBELLKEEL_SCALE_WORKHISTORY_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Scale/WorkTotal.h"
#include <deque>
#include <optional>
#include <utility>

namespace bluebellkeel {

/// The work of a service in the last seconds. Used by one coroutine.
class work_history {
public:
  /// Longer than a wave of the callers' traffic.
  static constexpr milliseconds Span{12000};
  /// A longer time without knowledge of the work starts the history anew.
  static constexpr milliseconds MaxGap{3000};

  void note(monotonic_time Now, const work_total &Work);
  work_total peak() const;
  /// True if all of the last Span is known.
  bool complete() const;

private:
  std::deque<std::pair<monotonic_time, work_total>> Samples;
  std::optional<monotonic_time> Since;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_WORKHISTORY_H
