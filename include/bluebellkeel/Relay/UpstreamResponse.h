#ifndef BLUEBELLKEEL_RELAY_UPSTREAMRESPONSE_H
#define BLUEBELLKEEL_RELAY_UPSTREAMRESPONSE_H

#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/ResponseHead.h"
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// An answer on its way from an upstream. Destroying it cancels what the
/// upstream still does for it.
class upstream_response {
public:
  virtual ~upstream_response() = default;

  virtual const response_head &head() const = 0;
  /// The next piece of the body, empty at its sound end. Waits.
  virtual tl::expected<std::string, attempt_error> read() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_UPSTREAMRESPONSE_H
