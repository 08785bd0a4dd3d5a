#include "DutyRunner.h"
#include "CountedDuties.h"
#include "LogDutyStore.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Http/Await.h"
#include <algorithm>
#include <set>

using namespace bluebellkeel;

static constexpr milliseconds StepInterval{250};

/// Interval at which counts are sent during a window, so that few are lost with
/// an instance that is killed.
static constexpr milliseconds CountsInterval{1250};

/// Instances beside the holder that get all counts: the next holders.
static constexpr std::size_t Successors = 2;

static duty_times timesOf(const std::optional<duty_settings> &Settings) {
  return Settings ? duty_times(Settings->Lease, Settings->UsageWindow,
                               Settings->UsageDelay)
                  : duty_times();
}

duty_runner::duty_runner(gateway_context &Context,
                         platform_log_provider &Provider, peer_link &Link)
    : Context(Context), Provider(Provider), Link(Link),
      Times(timesOf(Context.Settings.Duties)), Work(Context.Clock),
      ScaleInput(Context, Work) {}

/// Returns the instances that may hold the duties, this one included, in the
/// order in which they take them. All instances have to agree on the first of
/// them, so these are not only those of which each has heard lately.
std::vector<instance_record> duty_runner::candidates() const {
  std::vector<instance_id> Senders = Context.Instances.senders();
  std::set<instance_id> Known(Senders.begin(), Senders.end());
  std::vector<instance_record> Records;
  for (auto &Record : Context.Instances.knownInstances()) {
    if (Record.state() == instance_state::Live && Known.count(Record.id()) > 0)
      Records.push_back(std::move(Record));
  }
  Records.push_back(Context.self());
  std::sort(Records.begin(), Records.end(), [](const auto &L, const auto &R) {
    return duty_keeper::rankWeight(L.id()) > duty_keeper::rankWeight(R.id());
  });
  return Records;
}

/// The counts of a window are sent once more after its end.
bool duty_runner::countsAreDue() const {
  return Context.Clock.monotonicNow() - CountsSentAt >= CountsInterval ||
         Times.windowAt(Context.Clock.wallNow()) != CountsSentIn;
}

void duty_runner::sendCounts(const std::vector<instance_record> &Candidates) {
  CountsSentAt = Context.Clock.monotonicNow();
  CountsSentIn = Times.windowAt(Context.Clock.wallNow());
  usage_counts Counts(Context.Usage->counts(), ScaleInput.ownWork(),
                      News.newest());
  Work.merge(Context.Settings.Instance, Counts.work());
  Usage.merge(Context.Settings.Instance, Counts.reports());
  instance_id Holder = News.newest().holder();
  for (std::size_t Rank = 0; Rank < Candidates.size(); ++Rank) {
    const instance_record &Peer = Candidates[Rank];
    if (Peer.id() == Context.Settings.Instance ||
        (Rank >= Successors && Peer.id() != Holder))
      continue;
    Link.sendQuery(Peer, Counts, [this](const std::optional<peer_body> &Body) {
      const auto *Progress =
          Body ? std::get_if<duty_progress>(&*Body) : nullptr;
      if (Progress)
        News.note(*Progress);
    });
  }
}

duty_progress duty_runner::merge(const instance_id &From,
                                 const usage_counts &Counts) {
  Usage.merge(From, Counts.reports());
  News.note(Counts.progress());
  Work.merge(From, Counts.work());
  return News.newest();
}

void duty_runner::run(boost::asio::yield_context Yield) {
  if (!Context.Settings.Duties)
    return;
  auto Log = Provider.openLog(Yield);
  auto Platform = Provider.openDuties(Yield);
  log_duty_store Store(*Log);
  counted_duties Counted(*Platform, Context.Metrics);
  while (Context.State.phase() == serving_phase::Starting)
    awaitTime(Yield, StepInterval);
  duty_keeper Keeper(Context.Settings.Instance, Times, Context.Clock, Usage,
                     News, Store, Counted, Context.Log);
  while (Context.State.phase() == serving_phase::Serving) {
    auto Candidates = candidates();
    if (countsAreDue())
      sendCounts(Candidates);
    std::vector<instance_id> Live;
    Live.reserve(Candidates.size());
    for (const auto &Candidate : Candidates)
      Live.push_back(Candidate.id());
    Keeper.run(Live);
    awaitTime(Yield, StepInterval);
  }
  Keeper.release();
  sendCounts(candidates());
}
