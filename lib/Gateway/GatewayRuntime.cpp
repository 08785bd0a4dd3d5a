#include "bluebellkeel/Gateway/GatewayRuntime.h"
#include "BlockWait.h"
#include "BoardExchanger.h"
#include "DigestExchanger.h"
#include "DutyRunner.h"
#include "ReadSchedule.h"
#include "ResponderList.h"
#include "TopicAvailabilityMonitor.h"
#include "bluebellkeel/Http/Await.h"
#include "bluebellkeel/Journal/KeyedFollower.h"
#include "bluebellkeel/Peer/WebsocketPeerLink.h"
#include "bluebellkeel/Telemetry/MetricsPeerMonitor.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;

/// Minimum time from the start of a failed read to the next read. It doubles
/// with each further failure, up to MaxFailureBackoff.
static constexpr milliseconds FailureBackoff{250};
static constexpr milliseconds MaxFailureBackoff{1000};

/// Longest time after which an instance that relies on data from peers checks
/// whether it still may.
static constexpr milliseconds PeerDataCheckInterval{400};

/// Delay before the first read of the registered instances, so that all
/// instances that start at the same time have registered.
static constexpr milliseconds FirstInstancesReadDelay{600};

/// Interval at which the wait between two of these reads checks whether the log
/// was restored.
static constexpr milliseconds RestoreCheckInterval{1000};

static constexpr milliseconds DigestInterval{700};
static constexpr milliseconds PeriodicTaskInterval{400};

class gateway_runtime::impl : public std::enable_shared_from_this<impl> {
public:
  impl(gateway_context &Context, listeners Listeners,
       platform_log_provider &LogProvider, memory_monitor &Memory,
       thread_pool &Pool)
      : Context(Context), LogProvider(LogProvider), Memory(Memory), Pool(Pool),
        SettingsView(Listeners.Settings), UpstreamsView(Listeners.Upstreams),
        InstancesView(Listeners.Instances), Signer(Context.Settings.PeerKey),
        Counter(Context.Metrics),
        Link(Context.Settings.Instance, Signer, Context.Clock, Counter),
        Duties(Context, LogProvider, Link),
        Exchanger(Context, SettingsView, UpstreamsView, Duties, Link),
        Boards(Context, Link), Responders({Exchanger, Boards}),
        Schedule(Context, Exchanger), BlockWait(Context.Clock) {}

  tl::expected<void, std::string> start();
  void announceLeaving() { Exchanger.exchangeWithPeers(); }
  void stop() {
    Context.HeavyLoad.setCallback(nullptr);
    Link.stop();
  }

private:
  template <typename loop_t> void spawn(loop_t Loop);
  template <typename loop_t>
  bool runOnce(loop_t Loop, asio::yield_context Yield);
  void follow(keyed_topic Topic, keyed_view &View, log_freshness &Age,
              asio::yield_context Yield);
  void followSettings(asio::yield_context Yield);
  void followUpstreams(asio::yield_context Yield);
  void registerSelf(asio::yield_context Yield);
  bool isRegistered() const;
  void awaitInstancesRead(asio::yield_context Yield, milliseconds Delay) const;
  void followInstances(asio::yield_context Yield);
  void exchangeDigests(asio::yield_context Yield);
  void exchangeBoards(asio::yield_context Yield);
  void runPeriodicTasks(asio::yield_context Yield);
  void runDuties(asio::yield_context Yield) { Duties.run(Yield); }
  void recordBlocks(asio::yield_context Yield);
  void readBlocks(crash_recorder &Recorder, asio::yield_context Yield);
  void updateMetrics();
  void awaitBackoff(asio::yield_context Yield, monotonic_time RequestedAt,
                    milliseconds Backoff) const;
  void startServingWhenReady();
  void removeLapsedUpstreams();

  gateway_context &Context;
  platform_log_provider &LogProvider;
  memory_monitor &Memory;
  thread_pool &Pool;
  keyed_view SettingsView;
  keyed_view UpstreamsView;
  keyed_view InstancesView;
  log_freshness InstancesAge;
  hmac_signer Signer;
  metrics_peer_monitor Counter;
  websocket_peer_link Link;
  duty_runner Duties;
  digest_exchanger Exchanger;
  board_exchanger Boards;
  responder_list Responders;
  read_schedule Schedule;
  block_wait BlockWait;
};

template <typename loop_t> void gateway_runtime::impl::spawn(loop_t Loop) {
  asio::spawn(
      asio::make_strand(Pool.context()),
      [Self = shared_from_this(), Loop](asio::yield_context Yield) {
        while (!Self->runOnce(Loop, Yield))
          awaitTime(Yield, MaxFailureBackoff);
      },
      asio::detached);
}

/// Runs \p Loop; returns false if an exception ended it.
template <typename loop_t>
bool gateway_runtime::impl::runOnce(loop_t Loop, asio::yield_context Yield) {
  try {
    (this->*Loop)(Yield);
    return true;
  } catch (const std::exception &Error) {
    event_line Line("gateway", "loop_failed");
    Line.add("what", Error.what());
    Context.Log.write(Line);
    return false;
  }
}

tl::expected<void, std::string> gateway_runtime::impl::start() {
  auto Linked = Link.start(Context.Settings.PeerAddress, Responders);
  if (!Linked)
    return Linked;
  Context.HeavyLoad.setCallback([this] { Exchanger.announceLoad(); });
  spawn(&impl::followSettings);
  spawn(&impl::followUpstreams);
  spawn(&impl::followInstances);
  spawn(&impl::exchangeDigests);
  spawn(&impl::exchangeBoards);
  spawn(&impl::runPeriodicTasks);
  spawn(&impl::runDuties);
  spawn(&impl::recordBlocks);
  return {};
}

void gateway_runtime::impl::startServingWhenReady() {
  if (Context.State.phase() != serving_phase::Starting ||
      !Context.Tables.current() || !Context.UpstreamsAge.completeAsOf() ||
      !BlockWait.isOver())
    return;
  Context.State.advance(serving_phase::Serving);
  event_line Line("gateway", "serving");
  Line.add("settings",
           static_cast<std::int64_t>(Context.Tables.current()->version()))
      .add("blocks_read", BlockWait.hasRead());
  Context.Log.write(Line);
}

void gateway_runtime::impl::follow(keyed_topic Topic, keyed_view &View,
                                   log_freshness &Age,
                                   asio::yield_context Yield) {
  auto Log = LogProvider.openLog(Yield);
  keyed_follower Follower(Topic, View, Age, Context.Clock);
  topic_availability_monitor Availability(Topic, Context.Clock, Context.Log);
  milliseconds Backoff = FailureBackoff;
  while (true) {
    milliseconds Lifetime = Schedule.peerDataLifetime(Topic, Age);
    if (Lifetime.count() > 0) {
      awaitTime(Yield, std::min(Lifetime, PeerDataCheckInterval));
      continue;
    }
    log_position Before = View.end();
    monotonic_time RequestedAt = Context.Clock.monotonicNow();
    std::uint64_t ChangesBefore = Context.Registry.changes();
    bool WasLost = Availability.lost();
    // A read that failed while the log was available delays no removal.
    bool MayHaveExpired = WasLost && Topic == keyed_topic::Upstreams &&
                          registry_updater::mayHaveExpired(
                              Age.age(RequestedAt),
                              Context.Reloadable.get().UpstreamsRenewInterval);
    if (MayHaveExpired)
      Context.Updater.logReconnecting();
    // After an outage the first read returns at once instead of waiting for new
    // records.
    auto Read = Follower.poll(*Log, WasLost ? milliseconds(0)
                                            : Schedule.longPoll(Topic));
    if (!Read) {
      if (MayHaveExpired)
        Context.Updater.logUnavailable();
      Availability.failed(Read.error(), RequestedAt, Before,
                          Age.age(Context.Clock.monotonicNow()));
      awaitBackoff(Yield, RequestedAt, Backoff);
      Backoff = std::min(2 * Backoff, MaxFailureBackoff);
      continue;
    }
    Backoff = FailureBackoff;
    if (Read->allKeys())
      Availability.allKeysRead(Before, *Read);
    if (Before.era() > 0 && View.end().era() > Before.era())
      Availability.restored(Before, View.end());
    if (Availability.succeeded(View.end()) && MayHaveExpired)
      Context.Updater.logReconnected();
    startServingWhenReady();
    bool Records = View.end() > Before;
    if (Records)
      Exchanger.propagateChanges(Topic);
    bool Changes = Context.Registry.changes() > ChangesBefore;
    awaitTime(Yield, Records ? Schedule.delayAfterRecords(Topic, Changes)
                             : Schedule.delayAfterWait());
  }
}

void gateway_runtime::impl::awaitBackoff(asio::yield_context Yield,
                                         monotonic_time RequestedAt,
                                         milliseconds Backoff) const {
  auto Left = RequestedAt + Backoff - Context.Clock.monotonicNow();
  if (Left.count() > 0)
    awaitTime(Yield, std::chrono::ceil<milliseconds>(Left));
}

void gateway_runtime::impl::followSettings(asio::yield_context Yield) {
  follow(keyed_topic::Settings, SettingsView, Context.SettingsAge, Yield);
}

void gateway_runtime::impl::followUpstreams(asio::yield_context Yield) {
  follow(keyed_topic::Upstreams, UpstreamsView, Context.UpstreamsAge, Yield);
}

void gateway_runtime::impl::removeLapsedUpstreams() {
  for (const auto &Removed : Context.Updater.removeExpired()) {
    event_line Line("upstreams", "gone_after_return");
    Line.add("upstream", Removed.text());
    Context.Log.write(Line);
  }
}

void gateway_runtime::impl::updateMetrics() {
  constexpr double Never = -1;
  constexpr double MillisPerSecond = 1000;
  auto Age = Context.SettingsAge.age(Context.Clock.monotonicNow());
  Context.Metrics.setSettingsAge(
      Age ? static_cast<double>(Age->count()) / MillisPerSecond : Never);
  Context.Metrics.setSettingsAppliedOffset(
      static_cast<double>(SettingsView.end().offset().value()));
  Memory.update();
}

void gateway_runtime::impl::registerSelf(asio::yield_context Yield) {
  auto Log = LogProvider.openLog(Yield);
  keyed_record Record = LogProvider.registration(Context.self());
  while (!Log->append(keyed_topic::Instances, Record.name(), Record.value(),
                      std::nullopt))
    awaitTime(Yield, FailureBackoff);
}

void gateway_runtime::impl::followInstances(asio::yield_context Yield) {
  registerSelf(Yield);
  awaitTime(Yield, FirstInstancesReadDelay);
  auto Log = LogProvider.openLog(Yield);
  keyed_follower Follower(keyed_topic::Instances, InstancesView, InstancesAge,
                          Context.Clock);
  topic_availability_monitor Availability(keyed_topic::Instances, Context.Clock,
                                          Context.Log);
  while (true) {
    monotonic_time RequestedAt = Context.Clock.monotonicNow();
    auto Read = Follower.poll(*Log, milliseconds(0));
    if (!Read) {
      Availability.failed(Read.error(), RequestedAt, InstancesView.end(),
                          InstancesAge.age(Context.Clock.monotonicNow()));
      awaitTime(Yield, Schedule.instancesDelay(/*ReadFailed=*/true));
      continue;
    }
    Context.Instances.noteRegistrationsRead();
    Availability.succeeded(InstancesView.end());
    // A restored log may have lost the registration.
    if (!isRegistered()) {
      registerSelf(Yield);
      awaitTime(Yield, FirstInstancesReadDelay);
      continue;
    }
    awaitInstancesRead(Yield, Schedule.instancesDelay(/*ReadFailed=*/false));
  }
}

bool gateway_runtime::impl::isRegistered() const {
  auto Own = InstancesView.find(Context.Settings.Instance.text());
  return Own && !Own->isDeleted();
}

/// Waits for \p Delay, or until another topic shows that the log was restored
/// since the instances were read.
void gateway_runtime::impl::awaitInstancesRead(asio::yield_context Yield,
                                               milliseconds Delay) const {
  auto End = Context.Clock.monotonicNow() + Delay;
  do
    awaitTime(Yield, std::min(Delay, RestoreCheckInterval));
  while (Context.Clock.monotonicNow() < End &&
         SettingsView.end().era() <= InstancesView.end().era());
}

void gateway_runtime::impl::exchangeDigests(asio::yield_context Yield) {
  while (true) {
    Exchanger.exchangeWithPeers();
    awaitTime(Yield, DigestInterval);
  }
}

void gateway_runtime::impl::exchangeBoards(asio::yield_context Yield) {
  while (true)
    awaitTime(Yield, Boards.runRound());
}

void gateway_runtime::impl::runPeriodicTasks(asio::yield_context Yield) {
  auto StatusLog = LogProvider.openStatusLog(Yield);
  roll_out_status_publisher Publisher(Context.Settings.Instance, Context.Clock,
                                      Context.RollOuts, *StatusLog);
  while (true) {
    if (Context.State.phase() == serving_phase::Serving) {
      for (const auto &Written :
           Publisher.run(Context.forwardDependencies().senders())) {
        event_line Line("roll_out", "status_written");
        Line.add("service", Written.service().text())
            .add("target", Written.target().text())
            .add("stage", static_cast<std::int64_t>(Written.stage()));
        Context.Log.write(Line);
      }
    }
    for (keyed_view *View : {&SettingsView, &UpstreamsView, &InstancesView})
      View->settle(Context.Clock.monotonicNow());
    removeLapsedUpstreams();
    updateMetrics();
    startServingWhenReady();
    awaitTime(Yield, PeriodicTaskInterval);
  }
}

void gateway_runtime::impl::readBlocks(crash_recorder &Recorder,
                                       asio::yield_context Yield) {
  auto Blocked = Recorder.readBlocks();
  while (!Blocked) {
    awaitTime(Yield, FailureBackoff);
    Blocked = Recorder.readBlocks();
  }
  for (const auto &Request : *Blocked) {
    event_line Line("crashes", "block_from_log");
    Line.add("block", "request " + Request.text());
    Context.Log.write(Line);
  }
  BlockWait.noteRead();
  startServingWhenReady();
}

void gateway_runtime::impl::recordBlocks(asio::yield_context Yield) {
  auto Log = LogProvider.openCrashLog(Yield);
  crash_recorder Recorder(Context.Settings.Instance, Context.Clock,
                          Context.Crashes, *Log);
  readBlocks(Recorder, Yield);
  while (true) {
    Recorder.writeChanges(SettingsView.end().era(),
                          Context.forwardDependencies().senders());
    awaitTime(Yield, PeriodicTaskInterval);
  }
}

gateway_runtime::gateway_runtime(gateway_context &Context, listeners Listeners,
                                 platform_log_provider &LogProvider,
                                 memory_monitor &Memory, thread_pool &Pool)
    : Impl(std::make_shared<impl>(Context, Listeners, LogProvider, Memory,
                                  Pool)) {}

gateway_runtime::~gateway_runtime() { stop(); }

tl::expected<void, std::string> gateway_runtime::start() {
  return Impl->start();
}

void gateway_runtime::announceLeaving() { Impl->announceLeaving(); }

void gateway_runtime::stop() { Impl->stop(); }
