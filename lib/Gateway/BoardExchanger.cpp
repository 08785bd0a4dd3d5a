#include "BoardExchanger.h"
#include <algorithm>

using namespace bluebellkeel;

/// Time from one round to the next. It grows with the number of instances in
/// the data centre, since a collector handles the messages of many.
static constexpr milliseconds MinInterval{250};
static constexpr milliseconds MaxInterval{500};
static constexpr milliseconds IntervalPerInstance{8};
static constexpr milliseconds IdleInterval{1000};

/// An instance whose loads do not change contributes at this interval.
static constexpr milliseconds UnchangedInterval{500};

/// Interval at which a collector passes contributions on to the others.
static constexpr milliseconds PassOnInterval{450};

/// Up to this number of known instances, digests tell enough of each other's
/// loads.
static constexpr std::size_t MaxDigestInstances = 128;

/// Time for which a reported speed shows that boards are needed.
static constexpr milliseconds NeedLifetime{60000};

/// Reports older than this are left out of boards.
static constexpr milliseconds MaxReportAge{1000};

static std::vector<upstream_report>
youngerThan(std::vector<upstream_report> Reports, milliseconds MaxAge) {
  Reports.erase(std::remove_if(Reports.begin(), Reports.end(),
                               [&](const upstream_report &Report) {
                                 return Report.age() > MaxAge;
                               }),
                Reports.end());
  return Reports;
}

std::optional<peer_body> board_exchanger::answer(const instance_id &From,
                                                 const peer_body &Body) {
  if (const auto *Batch = std::get_if<load_batch>(&Body))
    takeIn(From, *Batch);
  if (const auto *Board = std::get_if<load_board>(&Body))
    apply(*Board);
  return std::nullopt;
}

void board_exchanger::takeIn(const instance_id &From, const load_batch &Batch) {
  bool OwnOnly = true;
  for (const auto &Contribution : Batch.contributions()) {
    All.note(Contribution);
    if (Contribution.instance() == From)
      Local.note(Contribution);
    else
      OwnOnly = false;
  }
  for (const auto &Report : Batch.reports()) {
    All.noteReport(Report);
    if (OwnOnly)
      Local.noteReport(Report);
  }
}

void board_exchanger::apply(const load_board &Board) {
  Contributor.apply(Board, Context.Instances.senders().size() + 1);
}

bool board_exchanger::isNeeded(monotonic_time Now) const {
  return Context.Loads.speedReportedAfter(Now - NeedLifetime);
}

milliseconds board_exchanger::runRound() {
  monotonic_time Now = Context.Clock.monotonicNow();
  if (Context.Instances.knownInstances().size() <= MaxDigestInstances)
    return IdleInterval;
  bool Needed = isNeeded(Now);
  std::vector<load_contribution> Served = Local.contributions();
  if (!Needed && Served.empty()) {
    reportState(Needed);
    return IdleInterval;
  }
  std::vector<instance_record> Live = Context.Instances.alive();
  Live.push_back(Context.self());
  if (Needed)
    contribute(Live, Now);
  Served = Local.contributions();
  if (!Served.empty()) {
    sendBoards(Live, Served);
    passOn(Live, std::move(Served), Now);
  }
  reportState(Needed);
  auto Neighbours = std::count_if(
      Live.begin(), Live.end(), [&](const instance_record &Record) {
        return Record.dataCentre() == Context.Settings.DataCentre;
      });
  return std::clamp<milliseconds>(Neighbours * IntervalPerInstance, MinInterval,
                                  MaxInterval);
}

void board_exchanger::contribute(const std::vector<instance_record> &Live,
                                 monotonic_time Now) {
  auto Collector = collector_election::collectorFor(
      Context.Settings.Instance, Context.Settings.DataCentre, Live);
  if (!Collector)
    return;
  std::vector<upstream_report> Reports =
      Context.Loads.reportsAfter(ContributedAt);
  auto Contribution =
      Contributor.take(Reports.empty() ? UnchangedInterval : milliseconds(0));
  if (!Contribution)
    return;
  ContributedAt = Now;
  load_batch Batch({*Contribution}, std::move(Reports));
  if (Collector->id() == Context.Settings.Instance)
    takeIn(Context.Settings.Instance, Batch);
  else
    Link.sendOneWay(*Collector, std::move(Batch));
}

void board_exchanger::sendBoards(const std::vector<instance_record> &Live,
                                 const std::vector<load_contribution> &Served) {
  load_board Board = load_collector::sum(
      All.contributions(), youngerThan(All.reports(), MaxReportAge));
  std::map<instance_id, std::uint64_t> Numbers;
  for (const auto &Contribution : Served)
    Numbers[Contribution.instance()] = Contribution.number();
  for (const auto &Record : Live) {
    auto Number = Numbers.find(Record.id());
    if (Number == Numbers.end())
      continue;
    if (Record.id() == Context.Settings.Instance)
      apply(Board.including(Number->second));
    else
      Link.sendOneWay(Record, Board.including(Number->second));
  }
}

void board_exchanger::passOn(const std::vector<instance_record> &Live,
                             std::vector<load_contribution> Served,
                             monotonic_time Now) {
  auto SinceLast = std::chrono::duration_cast<milliseconds>(Now - PassedOnAt);
  if (SinceLast < PassOnInterval)
    return;
  PassedOnAt = Now;
  load_batch Batch(std::move(Served),
                   youngerThan(Local.reports(), MaxReportAge));
  for (const auto &Other :
       collector_election::otherCollectors(Context.Settings.Instance, Live))
    Link.sendOneWay(Other, Batch);
}

void board_exchanger::reportState(bool Needed) {
  constexpr double Never = -1;
  constexpr double MillisPerSecond = 1000;
  auto Age = Contributor.boardAge();
  Context.Metrics.setBoardAge(
      Age ? static_cast<double>(Age->count()) / MillisPerSecond : Never);
  bool HasBoard = Age && *Age <= load_tracker::BoardLifetime;
  if (HasBoard == HadBoard)
    return;
  HadBoard = HasBoard;
  event_line Line("upstreams", HasBoard ? "board_received" : "board_lost");
  Line.add("needed", Needed);
  if (Age)
    Line.add("age_ms", Age->count());
  Line.add("contributors",
           static_cast<std::int64_t>(Contributor.contributors()));
  Context.Log.write(Line);
}
