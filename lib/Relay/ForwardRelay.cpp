#include "bluebellkeel/Relay/ForwardRelay.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

/// Upstreams that may turn a request away, or not be reached, before the
/// caller is told to come back.
static constexpr unsigned MaxArrivals = 4;
static constexpr unsigned MaxUnreached = 4;

/// A request that was running at so many crashes of different upstreams is not
/// sent again.
static constexpr std::size_t CrashLimit = 3;

/// Weighted prompt tokens that occupy an upstream for so long that other
/// instances should not send theirs there: a tenth of a second and more.
static constexpr std::uint64_t HeavyPrefill = 20000;

/// Age of the configuration from which on a missing route or key is not taken
/// for certain: longer than it takes to notice that the log is silent.
static constexpr milliseconds StaleSettings{3500};

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
      Limit(*this->Call, Ports.Tables), Candidates(Ports),
      LastEvent(this->Call->lastEvent()) {}

void forward_relay::run() {
  if (auto Reason = admit()) {
    refuse(*Reason);
    return;
  }
  Ports.Retries.noteRequest(Traits->service());
  if (!Route->sizes().empty())
    Size = Ports.Sizes.first(sizeQuestion());
  sendUntilDone();
}

std::optional<refusal_reason> forward_relay::admit() {
  serving_phase Phase = Ports.Gate.phase();
  Table = Ports.Tables.current();
  if (Phase == serving_phase::Starting || !Table)
    return refusal_reason::NotReady;
  if (Phase == serving_phase::Ended)
    return refusal_reason::Draining;
  if (auto Reason = checkRoute(*Table))
    return Reason;
  if (Phase == serving_phase::Draining && Route->kind() == route_kind::Stream)
    return refusal_reason::Draining;
  Print = fingerprint(std::to_string(
      stableHash(Call->path() + "|" + Account.text() + "|" + Call->body())));
  if (Ports.Crashes.crashesOf(Print) >= CrashLimit)
    return refusal_reason::CrashingRequest;
  return checkTime();
}

/// Finds the route and the account in \p Table, which must be kept.
std::optional<refusal_reason>
forward_relay::checkRoute(const route_table &Table) {
  bool Stale = Ports.Gate.settingsAge() > StaleSettings;
  Route = Table.match(Call->host(), Call->path());
  if (!Route)
    return Stale ? refusal_reason::SettingsStale : refusal_reason::UnknownRoute;
  Priority = Route->priority();
  if (Table.asksForKeys() && !Route->isPublic()) {
    const keyed_account *Holder = Table.accountOf(Call->accountKey());
    if (!Holder)
      return Stale ? refusal_reason::SettingsStale
                   : refusal_reason::Unauthenticated;
    Account = Holder->account();
    if (Holder->priority())
      Priority = Holder->priority();
  }
  constexpr std::uint64_t Steps = 100000;
  double Place = static_cast<double>(stableHash(sessionName()) % Steps) /
                 static_cast<double>(Steps);
  Traits = Table.traitsOf(Route->serviceAt(Place));
  return Traits ? std::nullopt
                : std::optional<refusal_reason>(refusal_reason::NoUpstream);
}

std::optional<refusal_reason> forward_relay::checkTime() const {
  /// Part of the objective that must be left for a sending to have a chance.
  constexpr int LeastPart = 10;
  auto Left = Limit.at() - Ports.Clock.monotonicNow();
  if (Runs > 0)
    return Left.count() > 0
               ? std::nullopt
               : std::optional<refusal_reason>(refusal_reason::TimeLimit);
  if (Left.count() > 0 && Left >= Route->objective() / LeastPart)
    return std::nullopt;
  return refusal_reason::TimeLimitUnsent;
}

/// Before each sending the newest configuration decides again.
std::optional<refusal_reason> forward_relay::readmit() {
  if (Caller.gone())
    return refusal_reason::CallerGone;
  auto Newest = Ports.Tables.current();
  if (Newest != Table) {
    auto Reason = checkRoute(*Newest);
    Table = Newest;
    if (Reason)
      return Reason;
    Size = std::min(Size, std::max<std::size_t>(1, Route->sizes().size()) - 1);
  }
  return checkTime();
}

void forward_relay::sendUntilDone() {
  while (true) {
    if (auto Reason = readmit()) {
      refuse(*Reason);
      return;
    }
    auto Target = choose();
    if (!Target) {
      refuse(Arrivals + Unreached > 0 ? refusal_reason::NoCapacity
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
                   : Ports.RollOuts.ruleFor(Traits->service(), sessionName());
  auto Find = [&](const version_rule &Asked) {
    return Candidates.choose(
        {*Traits, Asked, Tried, Call->text(), Model, pace()});
  };
  auto Found = Find(Rule);
  // Rather on the version before than nowhere.
  if (!Found && Rule.type() == kind::Only)
    Found = Find(version_rule(kind::Not, Rule.version()));
  return Found;
}

bool forward_relay::mayRepeat() {
  if (Arrivals == 0 || RepeatPaid)
    return true;
  std::size_t Instances = Ports.senders().size();
  RepeatPaid = Ports.Retries.spend(Traits->service(), Instances);
  return RepeatPaid;
}

forward_relay::step forward_relay::send(const placement_candidate &Target) {
  const upstream_listing &Upstream = Target.listing();
  Tried.insert(Upstream.id());
  logDispatch(Target);
  std::uint64_t Cached =
      std::min(Target.cachedTokens(), Call->text().tokensIn());
  auto Prefill = static_cast<std::uint64_t>(
      pace() * static_cast<double>(Call->text().tokensIn() - Cached));
  load_ticket Ticket(Ports.Loads, Upstream.id(), Prefill);
  if (Prefill >= HeavyPrefill)
    Ports.HeavyLoad.heavySent();
  Ports.RollOuts.noteSession(Traits->service(), sessionName(),
                             Upstream.version());
  SentAt = Ports.Clock.monotonicNow();
  auto Answer = Upstreams.open(attemptAt(Upstream), Limit);
  if (!Answer && Answer.error() == attempt_error::ConnectFailed) {
    ++Unreached;
    return afterError(Upstream, Answer.error());
  }
  ++Arrivals;
  RepeatPaid = false;
  if (!Answer) {
    if (!surelyNotRun(Answer.error()))
      ++Runs;
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
  ++Runs;
  Ticket.begun();
  if (!Begun)
    FirstByte = elapsed();
  // A stream that has begun can only go on as what it was.
  bool Unusable = Begun && !Head.succeeded();
  if (Unusable ||
      (Head.status() >= FirstServerError && repeatable() && runsLeft()))
    return afterError(Upstream, attempt_error::Failed);
  if (Head.succeeded() && !Head.vouched())
    return afterError(Upstream, attempt_error::Malformed);
  if (Head.succeeded() && Route->kind() == route_kind::Stream)
    return forwardStream(Upstream, Answer);
  return forwardWhole(Upstream, Answer);
}

forward_relay::step forward_relay::afterError(const upstream_listing &Upstream,
                                              attempt_error Error) {
  if (Error == attempt_error::CallerGone) {
    logEnd("caller_gone", 0);
    return step::Done;
  }
  logAttemptError(Upstream, Error);
  Ports.Monitor.countAttemptError(Error);
  if (Error == attempt_error::TimeLimit) {
    refuse(refusal_reason::TimeLimit);
    return step::Done;
  }
  noteBad(Upstream, Error);
  bool Again = surelyNotRun(Error)
                   ? Arrivals < MaxArrivals && Unreached < MaxUnreached
                   : repeatable() && runsLeft();
  // Only a stream can go on where it broke off.
  if (Begun && Route->kind() != route_kind::Stream)
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
    if (!beginAnswer(Answer.head()) || !Caller.write(Body)) {
      logEnd("caller_gone", 0);
      return step::Done;
    }
    Body.clear();
  }
  bool Reached = Begun ? (Body.empty() || Caller.write(Body)) && Caller.end()
                       : Caller.answer(Answer.head(), Body);
  if (Answer.head().succeeded())
    noteGood(Upstream);
  else
    Ports.RollOuts.noteAnswer(Traits->service(), Upstream.version(),
                              Answer.head().status() < 500);
  logEnd(Reached ? "answered" : "caller_gone", Answer.head().status());
  return step::Done;
}

forward_relay::step
forward_relay::forwardStream(const upstream_listing &Upstream,
                             upstream_answer &Answer) {
  if (Arrivals == 1)
    Ports.RollOuts.noteFirstByte(Traits->service(), Upstream.version(),
                                 std::chrono::duration_cast<milliseconds>(
                                     Ports.Clock.monotonicNow() - SentAt));
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
    auto Events = Splitter.feed(*Piece);
    if (Events.empty())
      continue;
    if (!BegunVersion)
      BegunVersion = Upstream.version();
    if (!beginAnswer(Answer.head())) {
      logEnd("caller_gone", 0);
      return step::Done;
    }
    auto Next = passEvents(Upstream, Events);
    if (Next)
      return *Next;
  }
  if (!beginAnswer(Answer.head())) {
    logEnd("caller_gone", 0);
    return step::Done;
  }
  return endStream(Upstream);
}

/// Empty when the stream goes on.
std::optional<forward_relay::step>
forward_relay::passEvents(const upstream_listing &Upstream,
                          const std::vector<stream_event> &Events) {
  std::string Bytes;
  for (const auto &Event : Events) {
    if (Event.number() && LastEvent) {
      if (*Event.number() <= *LastEvent)
        continue;
      // A gap cannot be told to the caller; the piece is fetched elsewhere.
      if (*Event.number() > *LastEvent + 1) {
        if (!Bytes.empty() && !Caller.write(Bytes))
          return step::Done;
        return afterError(Upstream, attempt_error::Malformed);
      }
    }
    if (Event.number())
      LastEvent = Event.number();
    Bytes += Event.bytes();
  }
  if (!Bytes.empty() && !Caller.write(Bytes)) {
    logEnd("caller_gone", 0);
    return step::Done;
  }
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
  if (Begun || Route->sizes().empty() || !Answer.head().confidence() ||
      !repeatable() || !runsLeft() || LastEvent)
    return false;
  std::size_t Next =
      Ports.Sizes.next(sizeQuestion(), Size, *Answer.head().confidence());
  if (Next == Size || !mayRepeat())
    return false;
  event_line Line("relay", "larger_model");
  Line.add("id", Call->id().text()).add("from", modelName());
  Size = Next;
  Line.add("to", modelName())
      .add("confidence",
           static_cast<std::int64_t>(*Answer.head().confidence()));
  Ports.Log.write(Line);
  return true;
}

bool forward_relay::beginAnswer(const answer_head &Head) {
  if (Begun)
    return true;
  Begun = true;
  return Caller.begin(Head);
}

forward_attempt
forward_relay::attemptAt(const upstream_listing &Upstream) const {
  /// Longest silence of an upstream before the request goes elsewhere, as
  /// multiples of what is still in time, and their least values: a pause of a
  /// busy upstream is no reason to give its work up.
  constexpr int FirstByteTimes = 2;
  constexpr int PauseTimes = 2;
  constexpr milliseconds LeastFirstByte{400};
  constexpr milliseconds LeastPause{2500};
  forward_attempt::fields Fields;
  Fields.Call = Call;
  Fields.Upstream = Upstream;
  Fields.Account = Account;
  Fields.Model = Route->sizes().empty() ? "" : modelName();
  Fields.Priority = Priority;
  Fields.LastEvent = LastEvent;
  Fields.TimeLeft = std::chrono::duration_cast<milliseconds>(
      Limit.at() - Ports.Clock.monotonicNow());
  Fields.FirstByteLimit = Fields.TimeLeft;
  Fields.PauseLimit = Fields.TimeLeft;
  bool More = repeatable() && Runs + 1 < Route->attempts();
  if (More && Route->objective().count() > 0) {
    Fields.FirstByteLimit =
        std::min(Fields.TimeLeft,
                 std::max(LeastFirstByte, FirstByteTimes * Route->objective()));
    Fields.PauseLimit =
        std::min(Fields.TimeLeft,
                 std::max(LeastPause, PauseTimes * Route->gapObjective()));
  }
  return forward_attempt(std::move(Fields));
}

size_question forward_relay::sizeQuestion() const {
  std::vector<model_size> Sizes;
  for (const auto &Name : Route->sizes())
    Sizes.emplace_back(Name, Traits->costOf(Name));
  return size_question(std::move(Sizes), Call->text(),
                       Candidates.occupancy(Traits->service()),
                       Route->objective(), elapsed());
}

std::string forward_relay::modelName() const {
  return Size < Route->sizes().size() ? Route->sizes()[Size] : std::string();
}

/// Prices grow with the time that a model takes; they stand in for its pace.
double forward_relay::pace() const {
  if (Route->sizes().empty())
    return 1;
  double Smallest = Traits->costOf(Route->sizes().front());
  double Chosen = Traits->costOf(modelName());
  return Smallest > 0 && Chosen > 0 ? Chosen / Smallest : 1;
}

bool forward_relay::runsLeft() const { return Runs < Route->attempts(); }

void forward_relay::noteGood(const upstream_listing &Upstream) {
  Ports.Loads.noteSuccess(Upstream.id());
  Ports.RollOuts.noteAnswer(Traits->service(), Upstream.version(),
                            /*Good=*/true);
  Ports.Crashes.noteSuccess(Print);
}

void forward_relay::noteBad(const upstream_listing &Upstream,
                            attempt_error Error) {
  bool Unsent = Error == attempt_error::ConnectFailed;
  double Weight = surelyNotRun(Error) ? TurnedAwayWeight : FailureWeight;
  Ports.Loads.noteFailure(Upstream.id(), Unsent ? UnreachedWeight : Weight);
  if (!surelyNotRun(Error))
    Ports.RollOuts.noteAnswer(Traits->service(), Upstream.version(),
                              /*Good=*/false);
  if (Error == attempt_error::Truncated)
    Ports.Crashes.noteCrash(Print, Upstream.id(), SentAt);
}

/// When a caller that was refused may come back with hope.
static milliseconds retryAfter(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::Draining:
    return milliseconds(50);
  case refusal_reason::NoCapacity:
  case refusal_reason::RetriesExhausted:
    return milliseconds(400);
  default:
    return milliseconds(600);
  }
}

/// The final answer of the system's own. What may have run is never said to
/// have not run.
void forward_relay::refuse(refusal_reason Reason) {
  constexpr int BadGateway = 502;
  constexpr int Unavailable = 503;
  constexpr int GatewayTimeout = 504;
  Ports.Monitor.countRefusal(Reason);
  if (Reason == refusal_reason::CallerGone) {
    logEnd("caller_gone", 0);
    return;
  }
  if (Begun) {
    Caller.abandon();
    logEnd(toString(Reason), 0);
    return;
  }
  int Status = httpStatus(Reason);
  if (Runs > 0)
    Status = Reason == refusal_reason::TimeLimit ? GatewayTimeout : BadGateway;
  else if (Reason == refusal_reason::CrashingRequest)
    Status = BadGateway;
  Caller.refuse(Reason, Status,
                Status == Unavailable ? retryAfter(Reason) : milliseconds(0));
  logEnd(toString(Reason), Status);
}

void forward_relay::logDispatch(const placement_candidate &Target) {
  const upstream_listing &Upstream = Target.listing();
  auto Entry = Ports.Roster.find(Upstream.id());
  event_line Line("relay", "dispatch");
  Line.add("id", Call->id().text())
      .add("route", Route->name())
      .add("upstream", Upstream.id().text())
      .add("version", Upstream.version().text())
      .add("model", modelName())
      .add("time_left_ms", std::chrono::duration_cast<milliseconds>(
                               Limit.at() - Ports.Clock.monotonicNow())
                               .count())
      .add("sending", static_cast<std::int64_t>(Arrivals) + Unreached + 1)
      .add("running", static_cast<std::int64_t>(Target.load().running()))
      .add("prefill", static_cast<std::int64_t>(Target.load().prefill()))
      .add("cached", static_cast<std::int64_t>(Target.cachedTokens()))
      .add("cold", Target.cold())
      .add("settings", static_cast<std::int64_t>(Table->version()))
      .add("settings_age_ms", Ports.Gate.settingsAge().count());
  if (Entry)
    Line.add("listing_age_ms",
             std::chrono::duration_cast<milliseconds>(
                 Ports.Clock.monotonicNow() - Entry->learntAt())
                 .count());
  Ports.Log.write(Line);
}

void forward_relay::logAttemptError(const upstream_listing &Upstream,
                                    attempt_error Error) {
  event_line Line("relay", "attempt_failed");
  Line.add("id", Call->id().text())
      .add("upstream", Upstream.id().text())
      .add("error", toString(Error))
      .add("after_ms", std::chrono::duration_cast<milliseconds>(
                           Ports.Clock.monotonicNow() - SentAt)
                           .count());
  Ports.Log.write(Line);
}

void forward_relay::logEnd(std::string_view Outcome, int Status) {
  event_line Line("relay", "finished");
  Line.add("id", Call->id().text())
      .add("outcome", Outcome)
      .add("status", static_cast<std::int64_t>(Status))
      .add("arrivals", static_cast<std::int64_t>(Arrivals))
      .add("runs", static_cast<std::int64_t>(Runs))
      .add("model", Route ? modelName() : "")
      .add("account", Account.text())
      .add("took_ms", elapsed().count());
  if (FirstByte)
    Line.add("first_byte_ms", FirstByte->count());
  if (LastEvent)
    Line.add("last_event", static_cast<std::int64_t>(*LastEvent));
  Ports.Log.write(Line);
}

milliseconds forward_relay::elapsed() const {
  return std::chrono::duration_cast<milliseconds>(Ports.Clock.monotonicNow() -
                                                  Call->arrived());
}

std::string forward_relay::sessionName() const {
  return Call->session().empty() ? Call->id().text() : Call->session();
}
