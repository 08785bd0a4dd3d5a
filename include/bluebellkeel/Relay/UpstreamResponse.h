#ifndef BLUEBELLKEEL_RELAY_UPSTREAMRESPONSE_H
#define BLUEBELLKEEL_RELAY_UPSTREAMRESPONSE_H

#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/ResponseHead.h"
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// A response being received from an upstream. Destroying it cancels the work
/// that the upstream still does for the request.
class upstream_response {
public:
  virtual ~upstream_response() = default;

  virtual const response_head &head() const = 0;
  /// Blocks until the next piece of the body arrives and returns it; returns an
  /// empty string at the regular end of the body. After Silent it may be called
  /// again; every other error is final.
  virtual tl::expected<std::string, attempt_error> read() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_UPSTREAMRESPONSE_H
