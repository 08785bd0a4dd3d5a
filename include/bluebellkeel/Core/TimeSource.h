#ifndef BLUEBELLKEEL_CORE_TIMESOURCE_H
#define BLUEBELLKEEL_CORE_TIMESOURCE_H

#include "bluebellkeel/Core/Time.h"

namespace bluebellkeel {

/// Where decisions take the time from, so that tests can set it.
class time_source {
public:
  virtual ~time_source() = default;

  virtual monotonic_time monotonicNow() const = 0;
  virtual wall_time wallNow() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_TIMESOURCE_H
