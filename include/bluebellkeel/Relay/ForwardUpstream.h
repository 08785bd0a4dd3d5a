#ifndef BLUEBELLKEEL_RELAY_FORWARDUPSTREAM_H
#define BLUEBELLKEEL_RELAY_FORWARDUPSTREAM_H

#include "bluebellkeel/Relay/ForwardAttempt.h"
#include "bluebellkeel/Relay/TimeLimit.h"
#include "bluebellkeel/Relay/UpstreamResponse.h"
#include <memory>

namespace bluebellkeel {

/// Sends forwarded calls to upstreams.
class forward_upstream {
public:
  virtual ~forward_upstream() = default;

  /// Sends the call and blocks until the response head arrives. Once \p Limit
  /// is reached or the caller is gone, this call and all reads of the response
  /// fail with TimeLimit or CallerGone.
  virtual tl::expected<std::unique_ptr<upstream_response>, attempt_error>
  open(const forward_attempt &Attempt, const time_limit &Limit) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDUPSTREAM_H
