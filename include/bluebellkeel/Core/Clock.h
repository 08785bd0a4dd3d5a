#ifndef BLUEBELLKEEL_CORE_CLOCK_H
#define BLUEBELLKEEL_CORE_CLOCK_H

#include "bluebellkeel/Core/Time.h"

namespace bluebellkeel {

/// Where decisions take the time from, so that tests can set it.
class clock {
public:
  virtual ~clock() = default;

  virtual monotonic_time monotonicNow() const = 0;
  virtual wall_time wallNow() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_CLOCK_H
