#include "bluebellkeel/Relay/ServiceRelay.h"
#include "PoolNames.h"
#include "RefusalOf.h"
#include <cmath>

using namespace bluebellkeel;

tl::expected<service_response, refusal>
service_relay::relay(const service_call &Call) {
  auto MaybeRefusal = checkCall(Call);
  if (MaybeRefusal)
    return tl::unexpected(*MaybeRefusal);
  auto Settings = Deps.Settings.routing();
  if (Settings->operation(Call.service(), Call.operation())->idempotent())
    return runRepeatable(Call);
  MaybeRefusal = checkTicket(Call);
  if (MaybeRefusal)
    return tl::unexpected(*MaybeRefusal);
  return runOnce(Call);
}

/// Returns a refusal from before the claim was logged. A resent call may have
/// run earlier.
static refusal refusalBeforeClaim(const service_call &Call,
                                  refusal_reason Reason, std::string Detail) {
  bool MayHaveRun = Call.callerTicket() && Call.mayBeResend();
  return refusal(Reason, MayHaveRun ? run_state::Unknown : run_state::NotRun,
                 std::move(Detail));
}

std::optional<refusal>
service_relay::checkCall(const service_call &Call) const {
  auto MaybeRefusal = recheck(Call);
  if (MaybeRefusal)
    return MaybeRefusal;
  if (!Deps.Bills.hasCapacity())
    return refusalBeforeClaim(Call, refusal_reason::BillingBacklogFull,
                              "Too many bills wait for the log.");
  return std::nullopt;
}

std::optional<refusal> service_relay::recheck(const service_call &Call) const {
  auto Closed = Deps.Gate.refusalReason();
  if (Closed)
    return refusalBeforeClaim(Call, *Closed,
                              "This instance takes no new work.");
  auto Settings = Deps.Settings.routing();
  const account_settings *Account = Settings->account(Call.account());
  if (!Account || Account->services().count(Call.service()) == 0)
    return refusalBeforeClaim(Call, refusal_reason::ServiceNotAllowed,
                              "The client account may not call this service.");
  if (!Settings->operation(Call.service(), Call.operation()))
    return refusalBeforeClaim(Call, refusal_reason::UnknownOperation,
                              "The service has no such operation.");
  return std::nullopt;
}

std::optional<refusal>
service_relay::checkTicket(const service_call &Call) const {
  if (!Call.callerTicket())
    return notRunRefusal(refusal_reason::TicketRequired,
                         "This call runs at most once and needs a ticket.");
  if (Call.callerTicket()->account() != Call.account())
    return notRunRefusal(refusal_reason::TicketInvalid,
                         "The ticket belongs to another client account.");
  if (Deps.Tickets.expired(*Call.callerTicket()))
    return refusalBeforeClaim(Call, refusal_reason::TicketExpired,
                              "The ticket has expired.");
  return std::nullopt;
}

service_relay::reply_result
service_relay::runRepeatable(const service_call &Call) {
  Deps.Retries.earn();
  for (unsigned Attempt = 1;; ++Attempt) {
    auto Slot = takeSlot(Call);
    if (!Slot)
      return tl::unexpected(Slot.error());
    auto MaybeRefusal = recheck(Call);
    if (MaybeRefusal)
      return tl::unexpected(withEarlierAttempts(*MaybeRefusal, !Tried.empty()));
    auto Reply = dispatch(Call, Slot->upstream(), Deps.Random.hexToken());
    if (Reply)
      return commitBill(Call, *Reply);
    if (Attempt >= MaxAttempts || !Deps.Retries.spend())
      return tl::unexpected(refusal(refusal_reason::RetriesExhausted,
                                    runStateAfter(Reply.error()),
                                    "No attempt gave a whole answer."));
    Deps.Monitor.countRetry(Reply.error());
  }
}

static std::optional<refusal> claimRefusal(const service_call &Call,
                                           const claim_verdict &Verdict) {
  using kind = claim_verdict::kind;
  switch (Verdict.result()) {
  case kind::Granted:
  case kind::Finished:
    return std::nullopt;
  case kind::HeldElsewhere:
    return refusal(refusal_reason::TicketHeldElsewhere, run_state::Unknown,
                   "Another attempt holds this ticket.");
  case kind::LogUnavailable:
    return refusalBeforeClaim(Call, refusal_reason::LogUnavailable,
                              "The claim could not be written to the log.");
  case kind::Trimmed:
    return refusalBeforeClaim(Call, refusal_reason::TicketExpired,
                              "The log no longer reaches back to this ticket.");
  case kind::QueueFull:
    return refusalBeforeClaim(Call, refusal_reason::ClaimsQueueFull,
                              "Too many claims wait for the log.");
  }
  return std::nullopt;
}

service_relay::reply_result service_relay::runOnce(const service_call &Call) {
  std::string AttemptId = Deps.Random.hexToken();
  claim_verdict Verdict = Deps.Claims.claim(*Call.callerTicket(), AttemptId);
  if (Verdict.result() == claim_verdict::kind::Finished) {
    service_response Recorded(Verdict.outcome().status(),
                              Verdict.outcome().body());
    return commitBill(Call, Recorded);
  }
  auto MaybeRefusal = claimRefusal(Call, Verdict);
  if (MaybeRefusal)
    return tl::unexpected(*MaybeRefusal);
  return runClaimed(Call, AttemptId);
}

/// Runs a call whose claim this attempt holds exclusively. Nothing has run
/// before the dispatch, and a call that may have run is not retried.
service_relay::reply_result
service_relay::runClaimed(const service_call &Call,
                          const std::string &AttemptId) {
  const ticket &Ticket = *Call.callerTicket();
  auto GiveUp = [&](const refusal &Refusal) {
    Deps.Claims.release(Ticket, AttemptId);
    return tl::unexpected(notRunRefusal(Refusal.reason(), Refusal.detail()));
  };
  while (true) {
    auto Slot = takeSlot(Call);
    if (!Slot)
      return GiveUp(Slot.error());
    auto MaybeRefusal = recheck(Call);
    if (MaybeRefusal)
      return GiveUp(*MaybeRefusal);
    auto Reply = dispatch(Call, Slot->upstream(), AttemptId);
    if (Reply) {
      bool FitsRecord = Reply->body().size() <= recorded_outcome::MaxBodyBytes;
      Deps.Claims.finish(
          Ticket, AttemptId,
          recorded_outcome(Reply->status(), FitsRecord ? Reply->body() : ""));
      return commitBill(Call, *Reply);
    }
    attempt_error Error = Reply.error();
    if (!definitelyNotRun(Error))
      return tl::unexpected(refusal(refusal_reason::OutcomeUnknown,
                                    run_state::Unknown,
                                    "The service may have run the call."));
    if (Tried.size() >= MaxAttempts || !Deps.Retries.spend())
      return GiveUp(notRunRefusal(refusal_reason::RetriesExhausted,
                                  "No upstream of the service took the call."));
    Deps.Monitor.countRetry(Error);
  }
}

service_relay::slot_result service_relay::takeSlot(const service_call &Call) {
  pool_id Pool = servicePool(Call.service());
  fingerprint SpreadKey(Call.id().text());
  auto Candidates = [&] {
    return Deps.Candidates.find(Pool, *Deps.Settings.routing(), Tried,
                                Deps.Chooser, SpreadKey);
  };
  auto Slot =
      Deps.Slots.acquire(Pool, Call.account(), load_amount(1, 0), Candidates);
  if (!Slot)
    return tl::unexpected(refusalOf(Slot.error(), !Tried.empty()));
  return std::move(*Slot);
}

tl::expected<service_response, attempt_error>
service_relay::dispatch(const service_call &Call, const upstream_id &Upstream,
                        const std::string &AttemptId) {
  Tried.insert(Upstream);
  auto Record =
      Deps.Candidates.dispatchable(Upstream, *Deps.Settings.routing());
  if (!Record)
    return tl::unexpected(attempt_error::ConnectFailed);
  auto Reply = Deps.Services.call(service_attempt(AttemptId, Call, *Record));
  if (Reply) {
    Deps.Health.noteSuccess(Upstream);
    return Reply;
  }
  Deps.Monitor.countAttemptError(Reply.error());
  Deps.Health.noteFailure(Upstream);
  return Reply;
}

/// Bills the call unless the service refused it. The bill carries the id of the
/// ticket, if there is one, so that a resend is not billed twice.
service_relay::reply_result
service_relay::commitBill(const service_call &Call,
                          const service_response &Reply) {
  constexpr int FirstErrorStatus = 400;
  if (Reply.status() >= FirstErrorStatus)
    return Reply;
  auto Settings = Deps.Settings.routing();
  const auto *Operation = Settings->operation(Call.service(), Call.operation());
  double Cost = Operation ? Operation->cost() : 0;
  request_id Billed =
      Call.callerTicket() ? request_id(Call.callerTicket()->id()) : Call.id();
  bill Bill(Call.account(), Billed,
            Call.service().text() + "/" + Call.operation(), 0,
            static_cast<std::uint64_t>(std::llround(Cost)));
  auto Committed = Deps.Bills.commit(Bill);
  if (!Committed)
    return tl::unexpected(refusal(refusal_reason::BillNotDurable,
                                  run_state::Ran,
                                  "The bill could not be made durable."));
  Deps.Monitor.countServiceCall();
  return Reply;
}
