#ifndef BLUEBELLKEEL_RELAY_REFUSALREASON_H
#define BLUEBELLKEEL_RELAY_REFUSALREASON_H

#include "bluebellkeel/Core/Time.h"
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Why a request got no whole answer. Each has a counter and a stable code.
enum class refusal_reason {
  BadRequest,
  Unauthenticated,
  NotReady,
  Draining,
  SettingsStale,
  DataCentreOut,
  NoAllowedVersion,
  VersionNotAllowed,
  VersionNotServing,
  SessionVersionWithdrawn,
  SessionInvalid,
  ServiceNotAllowed,
  UnknownOperation,
  TicketRequired,
  TicketInvalid,
  TicketExpired,
  TicketHeldElsewhere,
  LogUnavailable,
  ClaimsQueueFull,
  BillingBacklogFull,
  BillNotDurable,
  NoUpstream,
  NoCapacity,
  AccountQueueFull,
  CrashingRequest,
  RetriesExhausted,
  UpstreamFailed,
  AnswerInterrupted,
  OutcomeUnknown,
  CallerGone,
  /// No route leads from the request's host and path.
  UnknownRoute,
  /// The time was up before anything was sent to an upstream.
  TimeLimitUnsent,
  /// The time was up and an upstream may have run the request.
  TimeLimit,
};

/// The stable code that callers and counters see.
std::string_view toString(refusal_reason Reason);

/// All reasons, so that each counter exists from the start.
const std::vector<refusal_reason> &allRefusalReasons();

/// The HTTP status that goes with \p Reason.
int httpStatus(refusal_reason Reason);

/// When a caller that was refused for \p Reason may come back with hope.
milliseconds retryAfter(refusal_reason Reason);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_REFUSALREASON_H
