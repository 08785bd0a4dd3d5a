#ifndef BLUEBELLKEEL_RELAY_TIMELIMIT_H
#define BLUEBELLKEEL_RELAY_TIMELIMIT_H

#include "bluebellkeel/Core/Time.h"

namespace bluebellkeel {

/// When a request must have its final answer. It may change while the request
/// runs, as the configuration does.
class time_limit {
public:
  virtual ~time_limit() = default;

  virtual monotonic_time at() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_TIMELIMIT_H
