#include "bluebellkeel/Relay/RefusalReason.h"

using namespace bluebellkeel;

namespace {

struct reason_entry {
  refusal_reason Reason;
  std::string_view Code;
  int HttpStatus;
};

/// In the order of refusal_reason, whose values are the indices.
constexpr reason_entry Entries[] = {
    {refusal_reason::BadRequest, "bad_request", 400},
    {refusal_reason::Unauthenticated, "unauthenticated", 401},
    {refusal_reason::NotReady, "not_ready", 503},
    {refusal_reason::Draining, "draining", 503},
    {refusal_reason::SettingsStale, "settings_stale", 503},
    {refusal_reason::DataCentreOut, "data_centre_out", 503},
    {refusal_reason::NoAllowedVersion, "no_allowed_version", 403},
    {refusal_reason::VersionNotAllowed, "version_not_allowed", 403},
    {refusal_reason::VersionNotServing, "version_not_serving", 409},
    {refusal_reason::SessionVersionWithdrawn, "session_version_withdrawn", 409},
    {refusal_reason::SessionInvalid, "session_invalid", 400},
    {refusal_reason::ServiceNotAllowed, "service_not_allowed", 403},
    {refusal_reason::UnknownOperation, "unknown_operation", 404},
    {refusal_reason::TicketRequired, "ticket_required", 428},
    {refusal_reason::TicketInvalid, "ticket_invalid", 400},
    {refusal_reason::TicketExpired, "ticket_expired", 410},
    {refusal_reason::TicketHeldElsewhere, "ticket_held_elsewhere", 409},
    {refusal_reason::LogUnavailable, "log_unavailable", 503},
    {refusal_reason::ClaimsQueueFull, "claims_queue_full", 503},
    {refusal_reason::BillingBacklogFull, "billing_backlog_full", 503},
    {refusal_reason::BillNotDurable, "bill_not_durable", 503},
    {refusal_reason::NoUpstream, "no_upstream", 503},
    {refusal_reason::NoCapacity, "no_capacity", 503},
    {refusal_reason::AccountQueueFull, "account_queue_full", 429},
    {refusal_reason::CrashingRequest, "crashing_request", 422},
    {refusal_reason::RetriesExhausted, "retries_exhausted", 503},
    {refusal_reason::UpstreamFailed, "upstream_failed", 502},
    {refusal_reason::AnswerInterrupted, "answer_interrupted", 502},
    {refusal_reason::OutcomeUnknown, "outcome_unknown", 504},
    {refusal_reason::CallerGone, "caller_gone", 499},
    {refusal_reason::UnknownRoute, "unknown_route", 404},
    {refusal_reason::TimeLimitUnsent, "time_limit_unsent", 503},
    {refusal_reason::TimeLimit, "time_limit", 504},
    {refusal_reason::UpstreamsLimited, "upstreams_limited", 503},
    {refusal_reason::MemoryFull, "memory_full", 503},
};

const reason_entry &entryOf(refusal_reason Reason) {
  return Entries[static_cast<std::size_t>(Reason)];
}

} // namespace

std::string_view bluebellkeel::toString(refusal_reason Reason) {
  return entryOf(Reason).Code;
}

int bluebellkeel::httpStatus(refusal_reason Reason) {
  return entryOf(Reason).HttpStatus;
}

const std::vector<refusal_reason> &bluebellkeel::allRefusalReasons() {
  static const std::vector<refusal_reason> Reasons = [] {
    std::vector<refusal_reason> All;
    for (const auto &Entry : Entries)
      All.push_back(Entry.Reason);
    return All;
  }();
  return Reasons;
}

milliseconds bluebellkeel::retryAfter(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::Draining:
    return milliseconds(50);
  case refusal_reason::NoCapacity:
  case refusal_reason::RetriesExhausted:
  case refusal_reason::MemoryFull:
    return milliseconds(400);
  default:
    return milliseconds(600);
  }
}
