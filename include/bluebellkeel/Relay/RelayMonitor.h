#ifndef BLUEBELLKEEL_RELAY_RELAYMONITOR_H
#define BLUEBELLKEEL_RELAY_RELAYMONITOR_H

#include "bluebellkeel/Core/VersionId.h"
#include "bluebellkeel/Relay/AttemptError.h"
#include "bluebellkeel/Relay/RefusalReason.h"

namespace bluebellkeel {

/// Counts refusals, retries, failed attempts and responses of the relays.
class relay_monitor {
public:
  virtual ~relay_monitor() = default;

  virtual void countRefusal(refusal_reason Reason) = 0;
  virtual void countRetry(attempt_error Reason) = 0;
  virtual void countAttemptError(attempt_error Error) = 0;
  virtual void countAnswer(const version_id &Version, bool MetTarget) = 0;
  virtual void countServiceCall() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RELAYMONITOR_H
