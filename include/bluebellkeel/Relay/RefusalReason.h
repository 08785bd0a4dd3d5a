#ifndef BLUEBELLKEEL_RELAY_REFUSALREASON_H
#define BLUEBELLKEEL_RELAY_REFUSALREASON_H

#include "bluebellkeel/Core/Time.h"
#include <string_view>
#include <vector>

namespace bluebellkeel {

/// Why a request got no complete response. Each reason has a counter and a
/// stable code.
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
  /// No route matches the request's host and path.
  UnknownRoute,
  /// The time limit was reached, or too little time was left, before any
  /// upstream may have run the request.
  TimeLimitUnsent,
  /// The time limit was reached after an upstream may have run the request.
  TimeLimit,
  /// Every upstream that may run the request has named a limit, which is used
  /// up for now, or asked for a pause.
  UpstreamsLimited,
  /// The process has no memory for the request.
  MemoryFull,
};

/// Returns the stable code used in error responses and counters.
std::string_view toString(refusal_reason Reason);

/// Returns all reasons, so that each counter exists from the start.
const std::vector<refusal_reason> &allRefusalReasons();

/// Returns the HTTP status for \p Reason.
int httpStatus(refusal_reason Reason);

/// Returns how long a caller refused for \p Reason should wait before it
/// retries.
milliseconds retryAfter(refusal_reason Reason);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_REFUSALREASON_H
