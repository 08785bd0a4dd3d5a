#ifndef BLUEBELLKEEL_CORE_SYSTEMCLOCK_H
#define BLUEBELLKEEL_CORE_SYSTEMCLOCK_H

#include "bluebellkeel/Core/TimeSource.h"

namespace bluebellkeel {

/// Reads the clocks of the operating system.
class system_clock final : public time_source {
public:
  monotonic_time monotonicNow() const override {
    return std::chrono::steady_clock::now();
  }
  wall_time wallNow() const override {
    return std::chrono::system_clock::now();
  }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_SYSTEMCLOCK_H
