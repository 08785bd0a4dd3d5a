#ifndef BLUEBELLKEEL_CORE_TIMESOURCE_H
#define BLUEBELLKEEL_CORE_TIMESOURCE_H

#include "bluebellkeel/Core/Time.h"

namespace bluebellkeel {

/// Source of the current time; tests replace it with a clock that they set.
class time_source {
public:
  virtual ~time_source() = default;

  virtual monotonic_time monotonicNow() const = 0;
  virtual wall_time wallNow() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_TIMESOURCE_H
