#include "bluebellkeel/Relay/ForwardAdmission.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Relay/CallFingerprint.h"

using namespace bluebellkeel;

std::optional<refusal_reason> forward_admission::admit() {
  serving_phase Phase = Deps.ServingStatus.phase();
  Table = Deps.Tables.current();
  if (Phase == serving_phase::Starting || !Table)
    return refusal_reason::NotReady;
  if (Phase == serving_phase::Ended)
    return refusal_reason::Draining;
  if (auto Reason = checkRoute())
    return Reason;
  if (auto Reason = checkStop())
    return Reason;
  RequestFingerprint = fingerprintOf(Call, Account);
  if (auto Reason = checkCrashes(0))
    return Reason;
  return checkTime(0);
}

std::optional<refusal_reason> forward_admission::revalidate(unsigned Runs) {
  auto Newest = Deps.Tables.current();
  if (Newest != Table) {
    Table = Newest;
    if (auto Reason = checkRoute())
      return Reason;
  }
  // A request that may have run can't be reported as not run any more; it is
  // sent again and ends with the process at the latest.
  if (Runs == 0) {
    if (auto Reason = checkStop())
      return Reason;
  }
  if (auto Reason = checkCrashes(Runs))
    return Reason;
  return checkTime(Runs);
}

/// Refuses a request that might still run when this instance ends. The refusal
/// comes while it is certain that the request has not run, and another instance
/// serves the request at once.
std::optional<refusal_reason> forward_admission::checkStop() const {
  if (Deps.ServingStatus.phase() < serving_phase::Draining)
    return std::nullopt;
  monotonic_time StopsAt =
      Deps.ServingStatus.stopsAt().value_or(monotonic_time::max());
  if (Route->kind() != route_kind::Stream && Limit.withoutStop() <= StopsAt)
    return std::nullopt;
  monotonic_time Now = Deps.Clock.monotonicNow();
  auto TimeUntil = [Now](monotonic_time At) {
    return std::chrono::duration_cast<milliseconds>(At - Now).count();
  };
  event_line Line("relay", "too_long_for_stop");
  Line.add("id", Call.id().text())
      .add("may_take_ms", TimeUntil(Limit.withoutStop()))
      .add("stops_in_ms", TimeUntil(StopsAt));
  Deps.Log.write(Line);
  return refusal_reason::Draining;
}

std::optional<crash_block> forward_admission::blockOf(unsigned Runs) const {
  const prompt &Prompt = Call.requestPrompt();
  auto Blame = Deps.PartCrashes.blame();
  if (auto Part = Blame->blockedPart(Prompt))
    return crash_block("part " + *Part);
  if (Runs == 0) {
    if (auto Block = Deps.Crashes.blockOf(RequestFingerprint))
      return Block;
  }
  bool RepeatBlocked = Runs > 0 && Blame->blocksRepeat(Prompt);
  if (RepeatBlocked || Blame->blocksRequest(RequestFingerprint))
    return crash_block("request " + RequestFingerprint.text());
  return std::nullopt;
}

/// Refuses a request that would probably crash another upstream, unless it is
/// a trial of the block.
std::optional<refusal_reason> forward_admission::checkCrashes(unsigned Runs) {
  auto Block = blockOf(Runs);
  // A trial runs once, even if the block has ended meanwhile.
  if (IsTrial ? Runs == 0 : !Block)
    return std::nullopt;
  IsTrial = Runs == 0 && Deps.BlockTrials.admit(*Block, Deps.senders());
  event_line Line("relay", "crashing_prompt");
  Line.add("id", Call.id().text())
      .add("runs", static_cast<std::int64_t>(Runs))
      .add("block", Block ? Block->name() : "")
      .add("trial", IsTrial);
  Deps.Log.write(Line);
  return IsTrial
             ? std::nullopt
             : std::optional<refusal_reason>(refusal_reason::CrashingRequest);
}

/// Looks up the route, the account and the service in the table.
std::optional<refusal_reason> forward_admission::checkRoute() {
  bool Stale = Deps.ServingStatus.settingsStale();
  Route = Table->match(Call.host(), Call.path());
  if (!Route)
    return Stale ? refusal_reason::SettingsStale : refusal_reason::UnknownRoute;
  Priority = Route->priority();
  Account = account_id();
  if (Table->apiKeys().requiresKey() && !Route->isPublic()) {
    const api_key_account *Holder =
        Table->apiKeys().accountOf(Call.accountKey());
    if (!Holder)
      return Stale ? refusal_reason::SettingsStale
                   : refusal_reason::Unauthenticated;
    Account = Holder->account();
    if (Holder->priority())
      Priority = Holder->priority();
  }
  constexpr std::uint64_t HashBuckets = 100000;
  double HashFraction =
      static_cast<double>(stableHash(assignmentKey().text()) % HashBuckets) /
      static_cast<double>(HashBuckets);
  ServiceConfig = Table->configOf(Route->serviceAt(HashFraction));
  return ServiceConfig
             ? std::nullopt
             : std::optional<refusal_reason>(refusal_reason::NoUpstream);
}

std::optional<refusal_reason>
forward_admission::checkTime(unsigned Runs) const {
  /// A call that has not run is sent only if at least the route's objective
  /// divided by this is left; less time is unlikely to suffice.
  constexpr int MinTimeDivisor = 10;
  auto Left = Limit.at() - Deps.Clock.monotonicNow();
  if (Runs > 0)
    return Left.count() > 0
               ? std::nullopt
               : std::optional<refusal_reason>(refusal_reason::TimeLimit);
  if (Left.count() > 0 && Left >= Route->objective() / MinTimeDivisor)
    return std::nullopt;
  return refusal_reason::TimeLimitUnsent;
}

assignment_key forward_admission::assignmentKey() const {
  return Call.session().empty() ? assignment_key::ofRequest(Call.id().text())
                                : assignment_key::ofSession(Call.session());
}
