#include "bluebellkeel/Relay/ServiceRelay.h"
#include "PoolNames.h"
#include "RefusalOf.h"
#include <cmath>

using namespace bluebellkeel;

tl::expected<service_reply, refusal>
service_relay::relay(const service_call &Call) {
  auto Fault = checkCall(Call);
  if (Fault)
    return tl::unexpected(*Fault);
  auto Settings = Ports.Settings.routing();
  if (Settings->operation(Call.service(), Call.operation())->idempotent())
    return runRepeatable(Call);
  Fault = checkTicket(Call);
  if (Fault)
    return tl::unexpected(*Fault);
  return runOnce(Call);
}

/// A refusal before the log was asked: a resend may have run before.
static refusal beforeClaim(const service_call &Call, refusal_reason Reason,
                           std::string Detail) {
  bool MayHaveRun = Call.heldTicket() && Call.mayBeResend();
  return refusal(Reason, MayHaveRun ? run_state::Unknown : run_state::NotRun,
                 std::move(Detail));
}

std::optional<refusal>
service_relay::checkCall(const service_call &Call) const {
  auto Fault = recheck(Call);
  if (Fault)
    return Fault;
  if (!Ports.Bills.hasRoom())
    return beforeClaim(Call, refusal_reason::BillingBacklogFull,
                       "Too many bills wait for the log.");
  return std::nullopt;
}

std::optional<refusal> service_relay::recheck(const service_call &Call) const {
  auto Closed = Ports.Gate.closed();
  if (Closed)
    return beforeClaim(Call, *Closed, "This instance takes no new work.");
  auto Settings = Ports.Settings.routing();
  const account_settings *Account = Settings->account(Call.account());
  if (!Account || Account->services().count(Call.service()) == 0)
    return beforeClaim(Call, refusal_reason::ServiceNotAllowed,
                       "The client account may not call this service.");
  if (!Settings->operation(Call.service(), Call.operation()))
    return beforeClaim(Call, refusal_reason::UnknownOperation,
                       "The service has no such operation.");
  return std::nullopt;
}

std::optional<refusal>
service_relay::checkTicket(const service_call &Call) const {
  if (!Call.heldTicket())
    return notRun(refusal_reason::TicketRequired,
                  "This call runs at most once and needs a ticket.");
  if (Call.heldTicket()->account() != Call.account())
    return notRun(refusal_reason::TicketInvalid,
                  "The ticket belongs to another client account.");
  if (Ports.Tickets.expired(*Call.heldTicket()))
    return beforeClaim(Call, refusal_reason::TicketExpired,
                       "The ticket has expired.");
  return std::nullopt;
}

service_relay::reply_result
service_relay::runRepeatable(const service_call &Call) {
  Ports.Retries.earn();
  for (unsigned Attempt = 1;; ++Attempt) {
    auto Slot = takeSlot(Call);
    if (!Slot)
      return tl::unexpected(Slot.error());
    auto Fault = recheck(Call);
    if (Fault)
      return tl::unexpected(afterAttempts(*Fault, !Tried.empty()));
    auto Reply = dispatch(Call, Slot->upstream(), Ports.Random.token());
    if (Reply)
      return settle(Call, *Reply);
    if (Attempt >= MaxAttempts || !Ports.Retries.spend())
      return tl::unexpected(refusal(refusal_reason::RetriesExhausted,
                                    runStateAfter(Reply.error()),
                                    "No attempt gave a whole answer."));
    Ports.Monitor.countRetry(Reply.error());
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
    return beforeClaim(Call, refusal_reason::LogUnavailable,
                       "The claim could not be written to the log.");
  case kind::Trimmed:
    return beforeClaim(Call, refusal_reason::TicketExpired,
                       "The log no longer reaches back to this ticket.");
  case kind::QueueFull:
    return beforeClaim(Call, refusal_reason::ClaimsQueueFull,
                       "Too many claims wait for the log.");
  }
  return std::nullopt;
}

service_relay::reply_result service_relay::runOnce(const service_call &Call) {
  std::string AttemptId = Ports.Random.token();
  claim_verdict Verdict = Ports.Claims.claim(*Call.heldTicket(), AttemptId);
  if (Verdict.result() == claim_verdict::kind::Finished) {
    service_reply Recorded(Verdict.outcome().status(),
                           Verdict.outcome().body());
    return settle(Call, Recorded);
  }
  auto Fault = claimRefusal(Call, Verdict);
  if (Fault)
    return tl::unexpected(*Fault);
  return runClaimed(Call, AttemptId);
}

/// The claim is ours alone: until the dispatch nothing has run, and after it
/// nothing is tried again.
service_relay::reply_result
service_relay::runClaimed(const service_call &Call,
                          const std::string &AttemptId) {
  const ticket &Ticket = *Call.heldTicket();
  auto GiveUp = [&](const refusal &Refusal) {
    Ports.Claims.release(Ticket, AttemptId);
    return tl::unexpected(notRun(Refusal.reason(), Refusal.detail()));
  };
  while (true) {
    auto Slot = takeSlot(Call);
    if (!Slot)
      return GiveUp(Slot.error());
    auto Fault = recheck(Call);
    if (Fault)
      return GiveUp(*Fault);
    auto Reply = dispatch(Call, Slot->upstream(), AttemptId);
    if (Reply) {
      bool Short = Reply->body().size() <= recorded_outcome::MaxBodyBytes;
      Ports.Claims.finish(
          Ticket, AttemptId,
          recorded_outcome(Reply->status(), Short ? Reply->body() : ""));
      return settle(Call, *Reply);
    }
    attempt_error Error = Reply.error();
    if (!surelyNotRun(Error))
      return tl::unexpected(refusal(refusal_reason::OutcomeUnknown,
                                    run_state::Unknown,
                                    "The service may have run the call."));
    if (Tried.size() >= MaxAttempts || !Ports.Retries.spend())
      return GiveUp(notRun(refusal_reason::RetriesExhausted,
                           "No upstream of the service took the call."));
    Ports.Monitor.countRetry(Error);
  }
}

service_relay::slot_result service_relay::takeSlot(const service_call &Call) {
  pool_id Pool = servicePool(Call.service());
  fingerprint Spread(Call.id().text());
  auto Candidates = [&] {
    return Ports.Candidates.find(Pool, *Ports.Settings.routing(), Tried,
                                 Ports.Chooser, Spread);
  };
  auto Slot =
      Ports.Slots.acquire(Pool, Call.account(), load_share(1, 0), Candidates);
  if (!Slot)
    return tl::unexpected(refusalOf(Slot.error(), !Tried.empty()));
  return std::move(*Slot);
}

tl::expected<service_reply, attempt_error>
service_relay::dispatch(const service_call &Call, const upstream_id &Upstream,
                        const std::string &AttemptId) {
  Tried.insert(Upstream);
  auto Record =
      Ports.Candidates.dispatchable(Upstream, *Ports.Settings.routing());
  if (!Record)
    return tl::unexpected(attempt_error::ConnectFailed);
  auto Reply = Ports.Services.call(service_attempt(AttemptId, Call, *Record));
  if (Reply) {
    Ports.Health.noteSuccess(Upstream);
    return Reply;
  }
  Ports.Monitor.countAttemptError(Reply.error());
  Ports.Health.noteFailure(Upstream);
  return Reply;
}

/// A call that the service refused costs nothing. The bill's request is the
/// ticket's where there is one, so that a resend is billed with the first.
service_relay::reply_result service_relay::settle(const service_call &Call,
                                                  const service_reply &Reply) {
  constexpr int FirstErrorStatus = 400;
  if (Reply.status() >= FirstErrorStatus)
    return Reply;
  auto Settings = Ports.Settings.routing();
  const auto *Operation = Settings->operation(Call.service(), Call.operation());
  double Cost = Operation ? Operation->cost() : 0;
  request_id Billed =
      Call.heldTicket() ? request_id(Call.heldTicket()->id()) : Call.id();
  bill Bill(Call.account(), Billed,
            Call.service().text() + "/" + Call.operation(), 0,
            static_cast<std::uint64_t>(std::llround(Cost)));
  auto Committed = Ports.Bills.commit(Bill);
  if (!Committed)
    return tl::unexpected(refusal(refusal_reason::BillNotDurable,
                                  run_state::Ran,
                                  "The bill could not be made durable."));
  Ports.Monitor.countServiceCall();
  return Reply;
}
