#ifndef BLUEBELLKEEL_RELAY_SERVICEUPSTREAM_H
#define BLUEBELLKEEL_RELAY_SERVICEUPSTREAM_H

#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/ServiceAttempt.h"
#include "bluebellkeel/Relay/ServiceResponse.h"
#include <tl/expected.hpp>

namespace bluebellkeel {

/// Runs attempts on plain services.
class service_upstream {
public:
  virtual ~service_upstream() = default;

  /// Runs \p Attempt; may block. Fails if there is no complete response.
  virtual tl::expected<service_response, attempt_error>
  call(const service_attempt &Attempt) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVICEUPSTREAM_H
