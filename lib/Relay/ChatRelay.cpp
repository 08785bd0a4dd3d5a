#include "bluebellkeel/Relay/ChatRelay.h"
#include "PoolNames.h"
#include "RefusalOf.h"
#include "bluebellkeel/Policy/VersionEligibility.h"
#include <cmath>

using namespace bluebellkeel;

tl::expected<chat_outcome, refusal>
chat_relay::relay(const chat_request &Request, response_sink &Sink,
                  const version_callback &OnVersion) {
  auto MaybeRefusal = checkStart(Request);
  if (MaybeRefusal)
    return tl::unexpected(*MaybeRefusal);
  auto Plan = planFor(Request);
  if (!Plan)
    return tl::unexpected(Plan.error());
  Deps.Retries.earn();
  deferred_final_sink DeferredSink(Sink);
  refusal Last =
      notRunRefusal(refusal_reason::NoUpstream, "No upstream is listed.");
  for (const auto &Step : Plan->steps()) {
    bool LastStep = Step == Plan->steps().back();
    auto Outcome = tryStep(Request, Step, DeferredSink, OnVersion, LastStep);
    if (Outcome)
      return Outcome;
    Last = Outcome.error();
    if (!mayTryNextVersion(Last.reason()) || DeferredSink.released())
      break;
  }
  return tl::unexpected(withEarlierAttempts(Last, Attempts > 0));
}

std::optional<refusal> chat_relay::checkStart(const chat_request &Request) {
  auto Closed = Deps.Gate.refusalReason();
  if (Closed)
    return notRunRefusal(*Closed, "This instance takes no new work.");
  if (!Deps.Bills.hasCapacity())
    return notRunRefusal(refusal_reason::BillingBacklogFull,
                         "Too many bills wait for the log.");
  if (Deps.Crashes.blocked(Request.content()))
    return notRunRefusal(refusal_reason::CrashingRequest,
                         "This request has crashed upstreams.");
  return std::nullopt;
}

tl::expected<version_plan, refusal>
chat_relay::planFor(const chat_request &Request) {
  auto Settings = Deps.Settings.routing();
  const account_settings *Account = Settings->account(Request.account());
  if (!Account)
    return tl::unexpected(notRunRefusal(refusal_reason::Unauthenticated,
                                        "The client account does not exist."));
  route_query Query(*Settings, *Account, Request.model(),
                    Request.continuedSession());
  auto Plan = Deps.Planner.plan(Query);
  if (!Plan)
    return tl::unexpected(refusalOf(Plan.error()));
  return *Plan;
}

tl::expected<chat_outcome, refusal>
chat_relay::tryStep(const chat_request &Request, const plan_step &Step,
                    deferred_final_sink &Sink,
                    const version_callback &OnVersion, bool LastStep) {
  while (true) {
    auto Slot = takeSlot(Request, Step);
    if (!Slot)
      return tl::unexpected(Slot.error());
    auto MaybeRefusal = recheck(Request, Step);
    if (MaybeRefusal)
      return tl::unexpected(*MaybeRefusal);
    OnVersion(Step);
    auto Result = dispatch(Request, Step, Slot->upstream(), Sink);
    noteResult(Request, Slot->upstream(), Result);
    if (Result)
      MaybeRefusal = commitBill(Request, Step, *Result, Sink);
    else
      MaybeRefusal = afterFailure(Request, Result.error(), Sink, LastStep);
    if (MaybeRefusal)
      return tl::unexpected(*MaybeRefusal);
    if (Result)
      return chat_outcome(Step, *Result);
  }
}

/// Returns the refusal that ends the request or the plan step; empty to retry.
std::optional<refusal> chat_relay::afterFailure(const chat_request &Request,
                                                attempt_error Error,
                                                const deferred_final_sink &Sink,
                                                bool LastStep) {
  if (Error == attempt_error::CallerGone)
    return refusal(refusal_reason::CallerGone, run_state::Ran,
                   "The caller went away.");
  if (Sink.released())
    return refusal(refusal_reason::AnswerInterrupted, run_state::Ran,
                   "The upstream broke off its answer.");
  if (Deps.Crashes.blocked(Request.content()))
    return refusal(refusal_reason::CrashingRequest, run_state::Ran,
                   "This request has crashed upstreams.");
  if (Attempts >= MaxAttempts || !Deps.Retries.spend())
    return refusal(refusal_reason::RetriesExhausted, runStateAfter(Error),
                   "No attempt gave a whole answer.");
  Deps.Monitor.countRetry(Error);
  if (!LastStep && Tried.size() > 1)
    return refusal(refusal_reason::UpstreamFailed, runStateAfter(Error),
                   "The version's upstreams failed.");
  return std::nullopt;
}

tl::expected<upstream_slot, refusal>
chat_relay::takeSlot(const chat_request &Request, const plan_step &Step) {
  pool_id Pool = enginePool(Step.version());
  auto Candidates = [&] {
    return Deps.Candidates.find(Pool, *Deps.Settings.routing(), Tried,
                                Deps.Chooser, Request.prefix());
  };
  load_amount Need(1, Request.maxTokens());
  auto Slot = Deps.Slots.acquire(Pool, Request.account(), Need, Candidates);
  if (!Slot)
    return tl::unexpected(refusalOf(Slot.error(), Attempts > 0));
  return std::move(*Slot);
}

/// Checks the request against the current settings, which may have changed
/// during the wait for a slot. A request that was accepted before draining
/// began may still be dispatched.
std::optional<refusal> chat_relay::recheck(const chat_request &Request,
                                           const plan_step &Step) const {
  auto Closed = Deps.Gate.refusalReason();
  if (Closed && *Closed != refusal_reason::Draining)
    return notRunRefusal(*Closed, "This instance takes no new work.");
  auto MaybeRefusal =
      checkDispatch(*Deps.Settings.routing(), Request.account(), Step.version(),
                    Request.continuedSession().has_value());
  if (MaybeRefusal)
    return refusalOf(*MaybeRefusal);
  return std::nullopt;
}

chat_relay::attempt_result chat_relay::dispatch(const chat_request &Request,
                                                const plan_step &Step,
                                                const upstream_id &Upstream,
                                                deferred_final_sink &Sink) {
  ++Attempts;
  Tried.insert(Upstream);
  auto Record =
      Deps.Candidates.dispatchable(Upstream, *Deps.Settings.routing());
  if (!Record)
    return tl::unexpected(attempt_error::ConnectFailed);
  SentAt = Deps.Clock.monotonicNow();
  chat_attempt Attempt(Deps.Random.hexToken(), Request, Step.version(),
                       *Record);
  return Deps.Engines.run(Attempt, Sink);
}

void chat_relay::noteResult(const chat_request &Request,
                            const upstream_id &Upstream,
                            const attempt_result &Result) {
  if (Result) {
    Deps.Health.noteSuccess(Upstream);
    Deps.Crashes.noteSuccess(Request.content());
    return;
  }
  Deps.Monitor.countAttemptError(Result.error());
  if (Result.error() == attempt_error::CallerGone)
    return;
  Deps.Health.noteFailure(Upstream);
  if (Result.error() != attempt_error::Truncated)
    return;
  if (Deps.Crashes.noteCrash(Request.content(), Upstream, SentAt))
    Deps.CrashReports.reportCrash(Request.content(), Upstream);
}

std::optional<refusal> chat_relay::commitBill(const chat_request &Request,
                                              const plan_step &Step,
                                              const token_usage &Summary,
                                              deferred_final_sink &Sink) {
  constexpr double TokensPerPrice = 1000;
  double Cost =
      Step.cost() * static_cast<double>(Summary.tokens()) / TokensPerPrice;
  bill Bill(Request.account(), Request.id(), Step.version().text(),
            Summary.tokens(), static_cast<std::uint64_t>(std::llround(Cost)));
  auto Committed = Deps.Bills.commit(Bill);
  if (!Committed)
    return refusal(refusal_reason::BillNotDurable, run_state::Ran,
                   "The bill could not be made durable.");
  if (!Sink.release())
    return refusal(refusal_reason::CallerGone, run_state::Ran,
                   "The caller went away.");
  Deps.Monitor.countAnswer(Step.version(), Step.meetsTarget());
  return std::nullopt;
}
