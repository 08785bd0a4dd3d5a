#include "bluebellkeel/Relay/ChatRelay.h"
#include "PoolNames.h"
#include "RefusalOf.h"
#include "bluebellkeel/Policy/VersionEligibility.h"
#include <cmath>

using namespace bluebellkeel;

tl::expected<chat_outcome, refusal>
chat_relay::relay(const chat_request &Request, answer_sink &Sink,
                  const version_notice &Notice) {
  auto Fault = checkStart(Request);
  if (Fault)
    return tl::unexpected(*Fault);
  auto Plan = planFor(Request);
  if (!Plan)
    return tl::unexpected(Plan.error());
  Ports.Retries.earn();
  holdback_sink Holdback(Sink);
  refusal Last = notRun(refusal_reason::NoUpstream, "No upstream is listed.");
  for (const auto &Step : Plan->steps()) {
    bool LastStep = Step == Plan->steps().back();
    auto Outcome = tryStep(Request, Step, Holdback, Notice, LastStep);
    if (Outcome)
      return Outcome;
    Last = Outcome.error();
    if (!mayTryNextVersion(Last.reason()) || Holdback.released())
      break;
  }
  return tl::unexpected(afterAttempts(Last, Attempts > 0));
}

std::optional<refusal> chat_relay::checkStart(const chat_request &Request) {
  auto Closed = Ports.Gate.closed();
  if (Closed)
    return notRun(*Closed, "This instance takes no new work.");
  if (!Ports.Bills.hasRoom())
    return notRun(refusal_reason::BillingBacklogFull,
                  "Too many bills wait for the log.");
  if (Ports.Crashes.blocked(Request.content()))
    return notRun(refusal_reason::CrashingRequest,
                  "This request has crashed upstreams.");
  return std::nullopt;
}

tl::expected<version_plan, refusal>
chat_relay::planFor(const chat_request &Request) {
  auto Settings = Ports.Settings.routing();
  const account_settings *Account = Settings->account(Request.account());
  if (!Account)
    return tl::unexpected(notRun(refusal_reason::Unauthenticated,
                                 "The client account does not exist."));
  route_query Query(*Settings, *Account, Request.model(),
                    Request.keptSession());
  auto Plan = Ports.Planner.plan(Query);
  if (!Plan)
    return tl::unexpected(refusalOf(Plan.error()));
  return *Plan;
}

tl::expected<chat_outcome, refusal>
chat_relay::tryStep(const chat_request &Request, const plan_step &Step,
                    holdback_sink &Sink, const version_notice &Notice,
                    bool LastStep) {
  while (true) {
    auto Slot = takeSlot(Request, Step);
    if (!Slot)
      return tl::unexpected(Slot.error());
    auto Fault = recheck(Request, Step);
    if (Fault)
      return tl::unexpected(*Fault);
    Notice(Step);
    auto Result = dispatch(Request, Step, Slot->upstream(), Sink);
    noteResult(Request, Slot->upstream(), Result);
    if (Result)
      Fault = settle(Request, Step, *Result, Sink);
    else
      Fault = afterFailure(Request, Result.error(), Sink, LastStep);
    if (Fault)
      return tl::unexpected(*Fault);
    if (Result)
      return chat_outcome(Step, *Result);
  }
}

/// The refusal that ends the request or its step; empty for another try.
std::optional<refusal> chat_relay::afterFailure(const chat_request &Request,
                                                attempt_error Error,
                                                const holdback_sink &Sink,
                                                bool LastStep) {
  if (Error == attempt_error::CallerGone)
    return refusal(refusal_reason::CallerGone, run_state::Ran,
                   "The caller went away.");
  if (Sink.released())
    return refusal(refusal_reason::AnswerInterrupted, run_state::Ran,
                   "The upstream broke off its answer.");
  if (Ports.Crashes.blocked(Request.content()))
    return refusal(refusal_reason::CrashingRequest, run_state::Ran,
                   "This request has crashed upstreams.");
  if (Attempts >= MaxAttempts || !Ports.Retries.spend())
    return refusal(refusal_reason::RetriesExhausted, runStateAfter(Error),
                   "No attempt gave a whole answer.");
  Ports.Monitor.countRetry(Error);
  if (!LastStep && Tried.size() > 1)
    return refusal(refusal_reason::UpstreamFailed, runStateAfter(Error),
                   "The version's upstreams failed.");
  return std::nullopt;
}

tl::expected<upstream_slot, refusal>
chat_relay::takeSlot(const chat_request &Request, const plan_step &Step) {
  pool_id Pool = enginePool(Step.version());
  auto Candidates = [&] {
    return Ports.Candidates.find(Pool, *Ports.Settings.routing(), Tried,
                                 Ports.Chooser, Request.prefix());
  };
  load_share Need(1, Request.maxTokens());
  auto Slot = Ports.Slots.acquire(Pool, Request.account(), Need, Candidates);
  if (!Slot)
    return tl::unexpected(refusalOf(Slot.error(), Attempts > 0));
  return std::move(*Slot);
}

/// The wait for a slot may have been long; what the settings say now counts.
std::optional<refusal> chat_relay::recheck(const chat_request &Request,
                                           const plan_step &Step) const {
  auto Closed = Ports.Gate.closed();
  if (Closed && *Closed != refusal_reason::Draining)
    return notRun(*Closed, "This instance takes no new work.");
  auto Fault = checkDispatch(*Ports.Settings.routing(), Request.account(),
                             Step.version(), Request.keptSession().has_value());
  if (Fault)
    return refusalOf(*Fault);
  return std::nullopt;
}

chat_relay::attempt_result chat_relay::dispatch(const chat_request &Request,
                                                const plan_step &Step,
                                                const upstream_id &Upstream,
                                                holdback_sink &Sink) {
  ++Attempts;
  Tried.insert(Upstream);
  auto Record =
      Ports.Candidates.dispatchable(Upstream, *Ports.Settings.routing());
  if (!Record)
    return tl::unexpected(attempt_error::ConnectFailed);
  SentAt = Ports.Clock.monotonicNow();
  chat_attempt Attempt(Ports.Random.token(), Request, Step.version(), *Record);
  return Ports.Engines.run(Attempt, Sink);
}

void chat_relay::noteResult(const chat_request &Request,
                            const upstream_id &Upstream,
                            const attempt_result &Result) {
  if (Result) {
    Ports.Health.noteSuccess(Upstream);
    Ports.Crashes.noteSuccess(Request.content());
    return;
  }
  Ports.Monitor.countAttemptError(Result.error());
  if (Result.error() == attempt_error::CallerGone)
    return;
  Ports.Health.noteFailure(Upstream);
  if (Result.error() != attempt_error::Truncated)
    return;
  if (Ports.Crashes.noteCrash(Request.content(), Upstream, SentAt))
    Ports.CrashReports.reportCrash(Request.content(), Upstream);
}

std::optional<refusal> chat_relay::settle(const chat_request &Request,
                                          const plan_step &Step,
                                          const answer_summary &Summary,
                                          holdback_sink &Sink) {
  constexpr double TokensPerPrice = 1000;
  double Cost =
      Step.cost() * static_cast<double>(Summary.tokens()) / TokensPerPrice;
  bill Bill(Request.account(), Request.id(), Step.version().text(),
            Summary.tokens(), static_cast<std::uint64_t>(std::llround(Cost)));
  auto Committed = Ports.Bills.commit(Bill);
  if (!Committed)
    return refusal(refusal_reason::BillNotDurable, run_state::Ran,
                   "The bill could not be made durable.");
  if (!Sink.release())
    return refusal(refusal_reason::CallerGone, run_state::Ran,
                   "The caller went away.");
  Ports.Monitor.countAnswer(Step.version(), Step.meetsTarget());
  return std::nullopt;
}
