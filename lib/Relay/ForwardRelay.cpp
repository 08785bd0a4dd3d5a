#include "bluebellkeel/Relay/ForwardRelay.h"
#include "bluebellkeel/Relay/AnswerPatience.h"
#include <algorithm>

using namespace bluebellkeel;

/// Upstreams that may turn a request away, or not be reached, before the
/// caller is told to come back.
static constexpr unsigned MaxArrivals = 4;
static constexpr unsigned MaxUnreached = 4;

/// Weighted prompt tokens that occupy an upstream for so long that other
/// instances should not send theirs there: a tenth of a second and more.
static constexpr std::uint64_t HeavyPrefill = 20000;

/// What one failure and one request that was turned away count in the
/// placement.
static constexpr double FailureWeight = 1;
static constexpr double UnreachedWeight = 2;
static constexpr double TurnedAwayWeight = 0.3;

forward_relay::forward_relay(const forward_ports &Ports,
                             forward_upstream &Upstreams,
                             forward_caller &Caller,
                             std::shared_ptr<const forward_call> Call)
    : Ports(Ports), Upstreams(Upstreams), Caller(Caller), Call(std::move(Call)),
      Limit(*this->Call, Ports.Tables), Admission(Ports, *this->Call, Limit),
      Candidates(Ports), Log(Ports, *this->Call, Admission, Progress),
      Sequence(this->Call->lastEvent()) {}

void forward_relay::run() {
  if (auto Reason = Admission.admit()) {
    refuse(*Reason);
    return;
  }
  Ports.Retries.noteRequest(service());
  if (!route().sizes().empty())
    Size = Ports.Sizes.first(sizeQuestion());
  sendUntilDone();
}

/// Before each sending the newest configuration decides again.
std::optional<refusal_reason> forward_relay::readmit() {
  if (Caller.gone())
    return refusal_reason::CallerGone;
  auto Reason = Admission.readmit(Progress.Runs);
  if (!Reason)
    Size = std::min(Size, std::max<std::size_t>(1, route().sizes().size()) - 1);
  return Reason;
}

void forward_relay::sendUntilDone() {
  while (true) {
    if (auto Reason = readmit()) {
      refuse(*Reason);
      return;
    }
    auto Target = choose();
    if (!Target) {
      refuse(Progress.Arrivals + Progress.Unreached > 0
                 ? refusal_reason::NoCapacity
                 : refusal_reason::NoUpstream);
      return;
    }
    if (!mayRepeat()) {
      refuse(refusal_reason::RetriesExhausted);
      return;
    }
    if (send(*Target) == step::Done)
      return;
  }
}

std::optional<placement_candidate> forward_relay::choose() {
  using kind = version_rule::kind;
  const std::string Model = modelName();
  version_rule Rule =
      BegunVersion ? version_rule(kind::Only, *BegunVersion)
                   : Ports.RollOuts.ruleFor(service(), Admission.sessionName());
  auto Find = [&](const version_rule &Asked) {
    return Candidates.choose({Admission.traits(), Asked, Progress.Tried,
                              Call->id(), Call->text(), Model, pace()});
  };
  auto Found = Find(Rule);
  // Rather on the version before than nowhere.
  if (!Found && Rule.type() == kind::Only)
    Found = Find(version_rule(kind::Not, Rule.version()));
  return Found;
}

bool forward_relay::mayRepeat() {
  if (Progress.Arrivals == 0 || RepeatPaid)
    return true;
  std::size_t Instances = Ports.senders().size();
  RepeatPaid = Ports.Retries.spend(service(), Instances);
  return RepeatPaid;
}

forward_relay::step forward_relay::send(const placement_candidate &Target) {
  const upstream_listing &Upstream = Target.listing();
  Progress.Tried.insert(Upstream.id());
  Log.dispatch(Target, modelName(), timeLeft());
  std::uint64_t Cached =
      std::min(Target.cachedTokens(), Call->text().tokensIn());
  auto Prefill = static_cast<std::uint64_t>(
      pace() * static_cast<double>(Call->text().tokensIn() - Cached));
  load_ticket Ticket(Ports.Loads, Upstream.id(), Prefill);
  if (Prefill >= HeavyPrefill)
    Ports.HeavyLoad.heavySent();
  Ports.RollOuts.noteSession(service(), Admission.sessionName(),
                             Upstream.version());
  Progress.SentAt = Ports.Clock.monotonicNow();
  auto Answer = Upstreams.open(attemptAt(Upstream), Limit);
  if (!Answer && Answer.error() == attempt_error::ConnectFailed) {
    ++Progress.Unreached;
    return afterError(Upstream, Answer.error());
  }
  ++Progress.Arrivals;
  RepeatPaid = false;
  if (!Answer) {
    if (!surelyNotRun(Answer.error()))
      ++Progress.Runs;
    return afterError(Upstream, Answer.error());
  }
  return afterHead(Upstream, Ticket, **Answer);
}

forward_relay::step forward_relay::afterHead(const upstream_listing &Upstream,
                                             load_ticket &Ticket,
                                             upstream_answer &Answer) {
  constexpr int FirstServerError = 500;
  const answer_head &Head = Answer.head();
  if (Head.queue() && !Head.elsewhere())
    Ports.Loads.noteReport(Upstream.id(), *Head.queue());
  if (Head.elsewhere()) {
    Ports.Roster.noteReplaced(Upstream.id(), Upstream.address());
    return afterError(Upstream, attempt_error::WrongInstance);
  }
  if (Head.notRun())
    return afterError(Upstream, attempt_error::TurnedAway);
  ++Progress.Runs;
  Ticket.begun();
  if (!Progress.Begun)
    Progress.FirstByte = elapsed();
  // A stream that has begun can only go on as what it was.
  bool Unusable = Progress.Begun && !Head.succeeded();
  if (Unusable ||
      (Head.status() >= FirstServerError && repeatable() && runsLeft()))
    return afterError(Upstream, attempt_error::Failed);
  if (Head.succeeded() && !Head.vouched())
    return afterError(Upstream, attempt_error::Malformed);
  if (Head.succeeded() && route().kind() == route_kind::Stream)
    return forwardStream(Upstream, Answer);
  return forwardWhole(Upstream, Answer);
}

forward_relay::step forward_relay::afterError(const upstream_listing &Upstream,
                                              attempt_error Error) {
  if (Error == attempt_error::CallerGone)
    return callerLeft();
  Log.attemptFailed(Upstream.id(), Error);
  Ports.Monitor.countAttemptError(Error);
  if (Error == attempt_error::TimeLimit) {
    refuse(refusal_reason::TimeLimit);
    return step::Done;
  }
  noteBad(Upstream, Error);
  bool Again = surelyNotRun(Error) ? Progress.Arrivals < MaxArrivals &&
                                         Progress.Unreached < MaxUnreached
                                   : repeatable() && runsLeft();
  // Only a stream can go on where it broke off.
  if (Progress.Begun && route().kind() != route_kind::Stream)
    Again = false;
  if (!Again) {
    refuse(surelyNotRun(Error) ? refusal_reason::NoCapacity
                               : refusal_reason::UpstreamFailed);
    return step::Done;
  }
  Ports.Monitor.countRetry(Error);
  return step::Again;
}

forward_relay::step
forward_relay::forwardWhole(const upstream_listing &Upstream,
                            upstream_answer &Answer) {
  /// Bodies up to this are held until they are whole, so that one that breaks
  /// off can still be replaced.
  constexpr std::size_t MaxHeld = 256UL * 1024;
  std::string Body;
  while (true) {
    auto Piece = Answer.read();
    if (!Piece)
      return afterError(Upstream, Piece.error());
    if (Piece->empty())
      break;
    Body += *Piece;
    if (Body.size() <= MaxHeld)
      continue;
    if (!beginAnswer(Answer.head()) || !Caller.write(Body))
      return callerLeft();
    Body.clear();
  }
  bool Reached = Progress.Begun
                     ? (Body.empty() || Caller.write(Body)) && Caller.end()
                     : Caller.answer(Answer.head(), Body);
  if (Answer.head().succeeded())
    noteGood(Upstream);
  else
    Ports.RollOuts.noteAnswer(service(), Upstream.version(),
                              Answer.head().status() < 500);
  logEnd(Reached ? "answered" : "caller_gone", Answer.head().status());
  return step::Done;
}

forward_relay::step
forward_relay::forwardStream(const upstream_listing &Upstream,
                             upstream_answer &Answer) {
  if (Progress.Arrivals == 1)
    Ports.RollOuts.noteFirstByte(
        service(), Upstream.version(),
        std::chrono::duration_cast<milliseconds>(Ports.Clock.monotonicNow() -
                                                 Progress.SentAt));
  Ports.Prefixes.noteRead(modelName(), Call->text(), Upstream.id());
  if (asksLargerModel(Answer)) {
    noteGood(Upstream);
    return step::Again;
  }
  Splitter.clear();
  while (true) {
    auto Piece = Answer.read();
    if (!Piece)
      return afterError(Upstream, Piece.error());
    if (Piece->empty())
      break;
    if (auto Next = passPiece(Upstream, Answer.head(), *Piece))
      return *Next;
  }
  if (!beginAnswer(Answer.head()))
    return callerLeft();
  return endStream(Upstream);
}

/// Empty when the stream goes on.
std::optional<forward_relay::step>
forward_relay::passPiece(const upstream_listing &Upstream,
                         const answer_head &Head, std::string_view Piece) {
  auto Events = Splitter.feed(Piece);
  if (Events.empty())
    return std::nullopt;
  if (!BegunVersion)
    BegunVersion = Upstream.version();
  if (!beginAnswer(Head))
    return callerLeft();
  auto Passage = Sequence.pass(Events);
  if (!Passage.bytes().empty() && !Caller.write(Passage.bytes()))
    return callerLeft();
  // A gap cannot be told to the caller; the missing piece is fetched elsewhere.
  if (Passage.gap())
    return afterError(Upstream, attempt_error::Malformed);
  return std::nullopt;
}

forward_relay::step forward_relay::endStream(const upstream_listing &Upstream) {
  constexpr int Success = 200;
  bool Reached = (Splitter.rest().empty() || Caller.write(Splitter.rest())) &&
                 Caller.end();
  noteGood(Upstream);
  logEnd(Reached ? "answered" : "caller_gone", Success);
  return step::Done;
}

/// True when the answer is dropped for one of a larger model; the caller must
/// not have got any of it.
bool forward_relay::asksLargerModel(const upstream_answer &Answer) {
  if (Progress.Begun || route().sizes().empty() ||
      !Answer.head().confidence() || !repeatable() || !runsLeft() ||
      Sequence.last())
    return false;
  std::size_t Next =
      Ports.Sizes.next(sizeQuestion(), Size, *Answer.head().confidence());
  if (Next == Size || !mayRepeat())
    return false;
  std::string Before = modelName();
  Size = Next;
  Log.largerModel(Before, modelName(), *Answer.head().confidence());
  return true;
}

bool forward_relay::beginAnswer(const answer_head &Head) {
  if (Progress.Begun)
    return true;
  Progress.Begun = true;
  return Caller.begin(Head);
}

forward_attempt
forward_relay::attemptAt(const upstream_listing &Upstream) const {
  forward_attempt::fields Fields;
  Fields.Call = Call;
  Fields.Upstream = Upstream;
  Fields.Account = Admission.account();
  Fields.Model = route().sizes().empty() ? "" : modelName();
  Fields.Priority = Admission.priority();
  Fields.LastEvent = Sequence.last();
  Fields.TimeLeft = timeLeft();
  bool MoreRuns = repeatable() && Progress.Runs + 1 < route().attempts();
  answer_patience Patience(route(), Fields.TimeLeft, MoreRuns);
  Fields.FirstByteLimit = Patience.firstByte();
  Fields.PauseLimit = Patience.pause();
  return forward_attempt(std::move(Fields));
}

size_question forward_relay::sizeQuestion() const {
  std::vector<model_size> Sizes;
  for (const auto &Name : route().sizes())
    Sizes.emplace_back(Name, Admission.traits().costOf(Name));
  return size_question(std::move(Sizes), Call->text(),
                       Candidates.occupancy(service()), route().objective(),
                       elapsed());
}

std::string forward_relay::modelName() const {
  return Size < route().sizes().size() ? route().sizes()[Size] : std::string();
}

/// Prices grow with the time that a model takes; they stand in for its pace.
double forward_relay::pace() const {
  if (route().sizes().empty())
    return 1;
  double Smallest = Admission.traits().costOf(route().sizes().front());
  double Chosen = Admission.traits().costOf(modelName());
  return Smallest > 0 && Chosen > 0 ? Chosen / Smallest : 1;
}

void forward_relay::noteGood(const upstream_listing &Upstream) {
  Ports.Loads.noteSuccess(Upstream.id());
  Ports.RollOuts.noteAnswer(service(), Upstream.version(),
                            /*Good=*/true);
  Ports.Crashes.noteSuccess(Admission.print());
}

void forward_relay::noteBad(const upstream_listing &Upstream,
                            attempt_error Error) {
  bool Unsent = Error == attempt_error::ConnectFailed;
  double Weight = surelyNotRun(Error) ? TurnedAwayWeight : FailureWeight;
  Ports.Loads.noteFailure(Upstream.id(), Unsent ? UnreachedWeight : Weight);
  if (!surelyNotRun(Error))
    Ports.RollOuts.noteAnswer(service(), Upstream.version(),
                              /*Good=*/false);
  if (Error == attempt_error::Truncated)
    Ports.Crashes.noteCrash(Admission.print(), Upstream.id(), Progress.SentAt);
}

/// The final answer of the system's own.
void forward_relay::refuse(refusal_reason Reason) {
  constexpr int Unavailable = 503;
  Ports.Monitor.countRefusal(Reason);
  if (Reason == refusal_reason::CallerGone) {
    callerLeft();
    return;
  }
  if (Progress.Begun) {
    Caller.abandon();
    logEnd(toString(Reason), 0);
    return;
  }
  int Status = refusalStatus(Reason);
  Caller.refuse(Reason, Status,
                Status == Unavailable ? retryAfter(Reason) : milliseconds(0));
  logEnd(toString(Reason), Status);
}

/// What may have run is never said to have not run.
int forward_relay::refusalStatus(refusal_reason Reason) const {
  constexpr int BadGateway = 502;
  constexpr int GatewayTimeout = 504;
  if (Progress.Runs > 0)
    return Reason == refusal_reason::TimeLimit ? GatewayTimeout : BadGateway;
  return Reason == refusal_reason::CrashingRequest ? BadGateway
                                                   : httpStatus(Reason);
}

forward_relay::step forward_relay::callerLeft() {
  logEnd("caller_gone", 0);
  return step::Done;
}

void forward_relay::logEnd(std::string_view Outcome, int Status) const {
  Log.finished(Outcome, Status, Admission.routed() ? modelName() : "",
               Sequence.last());
}

milliseconds forward_relay::elapsed() const {
  return std::chrono::duration_cast<milliseconds>(Ports.Clock.monotonicNow() -
                                                  Call->arrived());
}

milliseconds forward_relay::timeLeft() const {
  return std::chrono::duration_cast<milliseconds>(Limit.at() -
                                                  Ports.Clock.monotonicNow());
}
