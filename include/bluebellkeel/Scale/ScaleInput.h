#ifndef BLUEBELLKEEL_SCALE_SCALEINPUT_H
#define BLUEBELLKEEL_SCALE_SCALEINPUT_H

#include "bluebellkeel/Scale/ScaleObservation.h"
#include <vector>

namespace bluebellkeel {

/// Source of what this instance sees of the services.
class scale_input {
public:
  virtual ~scale_input() = default;

  /// Returns an observation of each service whose upstreams are ordered.
  virtual std::vector<scale_observation> observe() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SCALEINPUT_H
