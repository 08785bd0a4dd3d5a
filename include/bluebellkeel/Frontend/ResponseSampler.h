#ifndef BLUEBELLKEEL_FRONTEND_RESPONSESAMPLER_H
#define BLUEBELLKEEL_FRONTEND_RESPONSESAMPLER_H

#include "bluebellkeel/Core/VersionId.h"
#include <string>

namespace bluebellkeel {

/// Receives whole responses, a sample of which is rated.
class response_sampler {
public:
  virtual ~response_sampler() = default;

  /// False if no response is to be rated now; sample() then need not be called.
  virtual bool acceptsSamples() const = 0;
  virtual void sample(const version_id &Version, const std::string &Answer) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_FRONTEND_RESPONSESAMPLER_H
