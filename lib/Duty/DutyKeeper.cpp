#include "bluebellkeel/Duty/DutyKeeper.h"
#include "bluebellkeel/Core/StableHash.h"
#include <algorithm>

using namespace bluebellkeel;

duty_keeper::duty_keeper(instance_id Self, duty_times Times,
                         const time_source &Clock, usage_collector &Usage,
                         duty_news &News, duty_store &Store,
                         duty_platform &Platform, event_log &Log)
    : Self(std::move(Self)), Times(Times), Clock(Clock), Usage(Usage),
      News(News), Store(Store), Platform(Platform), Log(Log),
      StartedAt(Clock.monotonicNow()) {}

void duty_keeper::run(const std::vector<instance_id> &Live) {
  if (Clock.monotonicNow() < RetryAt)
    return;
  if (!Term && dueForTakeover(Live))
    takeTerm();
  // Until then, the other instances hear of the holder and send their counts.
  if (!Term || Clock.monotonicNow() < Term->UsableFrom || !refresh())
    return;
  recordReports();
  sendReports();
}

std::uint64_t duty_keeper::completeWindow() const {
  return Times.windowAt(Clock.wallNow() - CollectTime) - 1;
}

bool duty_keeper::overdue(std::uint64_t Window) const {
  return Clock.wallNow() > Times.endOf(Window) + Times.reportDelay();
}

std::uint64_t duty_keeper::rankWeight(const instance_id &Instance) {
  return rendezvousWeight("holds-the-duties", Instance.text());
}

std::size_t duty_keeper::rankIn(const std::vector<instance_id> &Live) const {
  std::uint64_t Own = rankWeight(Self);
  return static_cast<std::size_t>(
      std::count_if(Live.begin(), Live.end(), [&](const instance_id &Other) {
        return rankWeight(Other) > Own;
      }));
}

/// Progress decides and not whether the holder is alive, so that a holder that
/// is killed, frozen or cut off from the log is replaced alike.
bool duty_keeper::dueForTakeover(const std::vector<instance_id> &Live) const {
  duty_progress Progress = News.newest();
  auto Patience = static_cast<long>(rankIn(Live)) * TakeoverDelay;
  if (Progress.token() == 0)
    return Clock.monotonicNow() - StartedAt >= NewsTime + Patience;
  std::uint64_t Complete = completeWindow();
  if (Progress.newestWindow() >= Complete)
    return false;
  wall_time DueAt = Times.endOf(Complete) + CollectTime;
  bool Released = Progress.holder().empty();
  return Clock.wallNow() - DueAt >=
         (Released ? milliseconds(0) : NewsTime) + Patience;
}

void duty_keeper::takeTerm() {
  RetryAt = Clock.monotonicNow() + RetryDelay;
  auto Page = Store.read();
  if (!Page)
    return;
  News.note(Page->record().progress());
  // Somebody does the duties, although no news of it came.
  if (Page->record().token() > 0 && !Page->record().holder().empty() &&
      Page->record().holder() != Self &&
      Page->record().newestWindow() >= completeWindow())
    return;
  monotonic_time Start = Clock.monotonicNow();
  duty_record Next = Page->record().nextTerm(Self, Page->end().era());
  auto Written = Store.write(Next, Page->end());
  event_line Line("duty", Written ? "term_taken" : "term_not_taken");
  Line.add("token", static_cast<std::int64_t>(Next.token()))
      .add("former", Page->record().holder().text())
      .add("newest_window",
           static_cast<std::int64_t>(Page->record().newestWindow()));
  if (!Written)
    Line.add("error", toString(Written.error()));
  Log.write(Line);
  if (!Written)
    return;
  ProvenAt = Start;
  beginTerm(Next, *Written);
}

void duty_keeper::beginTerm(const duty_record &NewRecord,
                            const log_position &NewEnd) {
  Record = NewRecord;
  End = NewEnd;
  RecordKnown = true;
  Term = term{NewRecord.token(), Clock.monotonicNow() + Times.lease()};
  News.note(Record.progress());
}

/// Reads the record again if an append of ours had no answer.
bool duty_keeper::refresh() {
  if (RecordKnown)
    return true;
  auto Page = Store.read();
  if (!Page) {
    RetryAt = Clock.monotonicNow() + RetryDelay;
    return false;
  }
  if (Page->record().token() != Term->Token ||
      Page->record().holder() != Self) {
    News.note(Page->record().progress());
    stepDown("another_record");
    return false;
  }
  // What is known to be acknowledged may not be in the log yet.
  duty_record Newest = Page->record();
  for (const auto &Recorded : Record.reports()) {
    if (Recorded.acknowledged())
      Newest = Newest.withAcknowledged(Recorded.report().window());
  }
  Record = Newest;
  End = Page->end();
  RecordKnown = true;
  News.note(Record.progress());
  return true;
}

/// Replaces the record; returns true if it is known to be replaced.
bool duty_keeper::record(const duty_record &NewRecord) {
  monotonic_time Start = Clock.monotonicNow();
  auto Written = Store.write(NewRecord, End);
  if (Written && Written->era() > End.era()) {
    // The log was restored: its records may have been lost, and another
    // instance may have written at the same offset.
    stepDown("log_restored");
    return false;
  }
  if (Written) {
    ProvenAt = Start;
    Record = NewRecord;
    End = *Written;
    News.note(Record.progress());
    return true;
  }
  if (Written.error() == journal_error::Conflict) {
    stepDown("conflict");
    return false;
  }
  // It may have been replaced, or be replaced later.
  RecordKnown = false;
  RetryAt = Clock.monotonicNow() + RetryDelay;
  return false;
}

/// Returns the first window to record. Windows that anyone has recorded are
/// left out, even if a restored log has lost the record: the platform may have
/// got it. So are those whose report is too late, but for the newest.
std::uint64_t duty_keeper::firstUnrecorded(std::uint64_t Complete) const {
  std::uint64_t Newest =
      std::max(Record.newestWindow(), News.newest().newestWindow());
  if (Newest == 0)
    return Complete;
  std::uint64_t First = Newest + 1;
  while (First < Complete && overdue(First))
    ++First;
  return First;
}

void duty_keeper::recordReports() {
  std::uint64_t Complete = completeWindow();
  std::uint64_t Next = firstUnrecorded(Complete);
  if (Next > Complete)
    return;
  duty_record Newer = Record;
  for (; Next <= Complete; ++Next) {
    usage_report Report = Usage.total(Next);
    event_line Line("duty", "usage_recorded");
    Line.add("window", static_cast<std::int64_t>(Next))
        .add("accounts", static_cast<std::int64_t>(Report.counts().size()))
        .add("instances", static_cast<std::int64_t>(Usage.instances(Next)))
        .add("token", static_cast<std::int64_t>(Term->Token));
    Log.write(Line);
    Newer = Newer.withReport(std::move(Report));
  }
  if (record(Newer))
    Usage.forgetBefore(Complete);
}

/// True if no other instance can act yet, and this one's term has begun.
bool duty_keeper::mayCall() const {
  monotonic_time Now = Clock.monotonicNow();
  return Now >= Term->UsableFrom && Now - ProvenAt < Times.lease() / 2;
}

bool duty_keeper::proveTerm() {
  if (!mayCall() && !record(duty_record(Record)))
    return false;
  return mayCall();
}

void duty_keeper::sendOrders(scale_planner &Planner) {
  if (!Term || !RecordKnown || Clock.monotonicNow() < Term->UsableFrom ||
      Clock.monotonicNow() < RetryAt)
    return;
  if (OrdersToken != Term->Token) {
    OrdersToken = Term->Token;
    Planner.forgetOrders();
  }
  Planner.decide();
  for (const auto &Order : std::vector(Planner.due())) {
    if (!proveTerm())
      return;
    duty_outcome Outcome = Platform.orderUpstreams(Self, Term->Token, Order);
    event_line Line("duty", "order_sent");
    Line.add("service", Order.service().text())
        .add("centre", Order.centre().text())
        .add("count", static_cast<std::int64_t>(Order.count()))
        .add("why", toString(Order.reason()))
        .add("token", static_cast<std::int64_t>(Term->Token))
        .add("outcome", toString(Outcome));
    Log.write(Line);
    if (Outcome == duty_outcome::Fenced) {
      stepDown("fenced");
      return;
    }
    if (Outcome == duty_outcome::Accepted || Outcome == duty_outcome::Unknown)
      Planner.noteSent(Order, Outcome == duty_outcome::Unknown);
    if (Outcome != duty_outcome::Accepted) {
      RetryAt = Clock.monotonicNow() + RetryDelay;
      return;
    }
  }
}

void duty_keeper::sendReports() {
  if (!Term || !RecordKnown)
    return;
  for (const auto &Recorded : std::vector(Record.reports())) {
    std::uint64_t Window = Recorded.report().window();
    if (Recorded.acknowledged() || overdue(Window))
      continue;
    if (!proveTerm())
      return;
    duty_outcome Outcome =
        Platform.reportUsage(Self, Term->Token, Recorded.report());
    event_line Line("duty", "usage_sent");
    Line.add("window", static_cast<std::int64_t>(Window))
        .add("token", static_cast<std::int64_t>(Term->Token))
        .add("outcome", toString(Outcome));
    Log.write(Line);
    if (Outcome == duty_outcome::Fenced) {
      stepDown("fenced");
      return;
    }
    if (Outcome != duty_outcome::Accepted) {
      RetryAt = Clock.monotonicNow() + RetryDelay;
      return;
    }
    Record = Record.withAcknowledged(Window);
  }
}

void duty_keeper::stepDown(std::string_view Why) {
  event_line Line("duty", "term_lost");
  Line.add("token", static_cast<std::int64_t>(Term->Token)).add("why", Why);
  Log.write(Line);
  Term.reset();
  RecordKnown = false;
  RetryAt = Clock.monotonicNow() + RetryDelay;
}

void duty_keeper::release() {
  if (!Term || !RecordKnown)
    return;
  bool Released = record(Record.released());
  event_line Line("duty", "term_released");
  Line.add("token", static_cast<std::int64_t>(Record.token()))
      .add("recorded", Released);
  Log.write(Line);
  Term.reset();
}
