#ifndef BLUEBELLKEEL_RELAY_TIMELIMIT_H
#define BLUEBELLKEEL_RELAY_TIMELIMIT_H

#include "bluebellkeel/Core/Time.h"

namespace bluebellkeel {

/// Time at which a request must have its final response. It may change while
/// the request runs, because the configuration does.
class time_limit {
public:
  virtual ~time_limit() = default;

  virtual monotonic_time at() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_TIMELIMIT_H
