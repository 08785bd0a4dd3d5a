#ifndef UNITTESTS_SUPPORT_MANUALCLOCK_H
#define UNITTESTS_SUPPORT_MANUALCLOCK_H

#include "bluebellkeel/Core/TimeSource.h"

namespace bluebellkeel {

/// A clock that advances only when a test calls advance().
class manual_clock final : public time_source {
public:
  monotonic_time monotonicNow() const override {
    return monotonic_time(seconds(1000) + Elapsed);
  }
  wall_time wallNow() const override {
    return wall_time(seconds(1700000000) + Elapsed);
  }
  void advance(milliseconds Time) { Elapsed += Time; }

private:
  milliseconds Elapsed{0};
};

} // namespace bluebellkeel

#endif // UNITTESTS_SUPPORT_MANUALCLOCK_H
