#include "bluebellkeel/Gateway/GatewayRuntime.h"
#include "DigestExchanger.h"
#include "TopicAvailabilityMonitor.h"
#include "bluebellkeel/Http/Await.h"
#include "bluebellkeel/Journal/KeyedFollower.h"
#include "bluebellkeel/Peer/WebsocketPeerLink.h"
#include "bluebellkeel/Telemetry/MetricsPeerMonitor.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;

/// How long one read waits for news. Calls are paid for; the probes of the
/// connection notice sooner when it has gone silent.
static constexpr milliseconds LongPollTimeout{20000};

/// The same for the settings among many instances, most of which do not read
/// themselves: what the readers know counts as of their last answer, and a
/// route that is missing from older settings is not taken for certain.
static constexpr milliseconds SettingsLongPollTimeout{1500};

/// Pause after a read that brought news, so that a burst of changes costs few
/// calls; small against the time in which a change is to be in force.
static constexpr milliseconds PollPause{100};

/// The same after a read that brought nothing but signs of life, among many
/// instances: their upstreams are many as well, and each read would return at
/// once. Twice that, the way through two peers included, is well inside the
/// time for which an upstream that leaves still serves.
static constexpr milliseconds UnchangedPollPause{800};

/// The same when it brought changes: where many upstreams come and go, so do
/// changes all the time.
static constexpr milliseconds ChangedPollPause{400};

/// Pause after a read that failed; doubles up to the longest one.
static constexpr milliseconds FailureBackoff{250};
static constexpr milliseconds MaxFailurePause{1000};

/// How old the knowledge of peers may be for an instance that does not read
/// itself, and how often it looks. Among few it stays below what a reader that
/// waits for news is sure of; among many it holds a reader's wait for the
/// settings, or the silence after which it gives up a wait for upstreams, and
/// two digests.
static constexpr milliseconds MaxPeerDataAge{2000};
static constexpr milliseconds ManyPeersMaxSettingsAge{3000};
static constexpr milliseconds ManyPeersMaxUpstreamsAge{5000};
static constexpr milliseconds PeerDataCheckInterval{400};

static constexpr milliseconds DigestInterval{700};
static constexpr milliseconds PeriodicTaskInterval{400};

/// When the list of instances is read: soon after the start, when all of them
/// have registered, then seldom, since peers pass on whom they know.
static constexpr milliseconds FirstInstancesReadDelay{600};
static constexpr milliseconds InstancesInterval{20000};
static constexpr milliseconds NoPeersInterval{2000};

class gateway_runtime::impl : public std::enable_shared_from_this<impl> {
public:
  impl(gateway_context &Context, listeners Listeners,
       platform_log_provider &LogProvider, thread_pool &Pool)
      : Context(Context), LogProvider(LogProvider), Pool(Pool),
        SettingsView(Listeners.Settings), UpstreamsView(Listeners.Upstreams),
        InstancesView(Listeners.Instances), Signer(Context.Settings.PeerKey),
        Counter(Context.Metrics),
        Link(Context.Settings.Instance, Signer, Context.Clock, Counter),
        Exchanger(Context, SettingsView, UpstreamsView, Link) {}

  tl::expected<void, std::string> start();
  void announceLeaving() { Exchanger.exchangeWithPeers(); }
  void stop() {
    Context.HeavyLoad.setCallback(nullptr);
    Link.stop();
  }

private:
  template <typename round_t> void spawn(round_t Round);
  void follow(keyed_topic Topic, keyed_view &View, log_freshness &Age,
              asio::yield_context Yield);
  void followSettings(asio::yield_context Yield);
  void followUpstreams(asio::yield_context Yield);
  void registerSelf(asio::yield_context Yield);
  void followInstances(asio::yield_context Yield);
  void exchangeDigests(asio::yield_context Yield);
  void runPeriodicTasks(asio::yield_context Yield);
  bool peerDataSuffices(keyed_topic Topic, const log_freshness &Age);
  milliseconds longPollTimeout(keyed_topic Topic) const;
  milliseconds maxPeerDataAge(keyed_topic Topic) const;
  milliseconds pollPause(keyed_topic Topic, bool Changes) const;
  void startServingWhenReady();
  void removeLapsedUpstreams();

  gateway_context &Context;
  platform_log_provider &LogProvider;
  thread_pool &Pool;
  keyed_view SettingsView;
  keyed_view UpstreamsView;
  keyed_view InstancesView;
  log_freshness InstancesAge{client_stream::SilenceLimit};
  hmac_signer Signer;
  metrics_peer_monitor Counter;
  websocket_peer_link Link;
  digest_exchanger Exchanger;
};

template <typename round_t> void gateway_runtime::impl::spawn(round_t Round) {
  asio::spawn(
      asio::make_strand(Pool.context()),
      [Self = shared_from_this(), Round](asio::yield_context Yield) {
        (Self.get()->*Round)(Yield);
      },
      asio::detached);
}

tl::expected<void, std::string> gateway_runtime::impl::start() {
  auto Linked = Link.start(Context.Settings.PeerAddress, Exchanger);
  if (!Linked)
    return Linked;
  Context.HeavyLoad.setCallback([this] { Exchanger.announceLoad(); });
  spawn(&impl::followSettings);
  spawn(&impl::followUpstreams);
  spawn(&impl::followInstances);
  spawn(&impl::exchangeDigests);
  spawn(&impl::runPeriodicTasks);
  return {};
}

void gateway_runtime::impl::startServingWhenReady() {
  if (Context.State.phase() != serving_phase::Starting ||
      !Context.Tables.current() ||
      !Context.UpstreamsAge.completeAsOf(Context.Clock.monotonicNow()))
    return;
  Context.State.advance(serving_phase::Serving);
  event_line Line("gateway", "serving");
  Line.add("settings",
           static_cast<std::int64_t>(Context.Tables.current()->version()));
  Context.Log.write(Line);
}

/// Where a data centre has many instances, a few of them read the log and the
/// others learn from their digests, as long as these are fresh.
bool gateway_runtime::impl::peerDataSuffices(keyed_topic Topic,
                                             const log_freshness &Age) {
  monotonic_time Now = Context.Clock.monotonicNow();
  auto KnownAt = Age.completeAsOf(Now);
  if (!KnownAt || Now - *KnownAt > maxPeerDataAge(Topic) ||
      Context.State.phase() == serving_phase::Starting)
    return false;
  return reader_election::isRedundantReader(Context.Settings.Instance,
                                            Context.Settings.DataCentre,
                                            Context.Instances.alive());
}

void gateway_runtime::impl::follow(keyed_topic Topic, keyed_view &View,
                                   log_freshness &Age,
                                   asio::yield_context Yield) {
  auto Log = LogProvider.openLog(Yield);
  keyed_follower Follower(Topic, View, Age, Context.Clock);
  topic_availability_monitor Availability(Topic, Context.Clock, Context.Log);
  milliseconds Pause = FailureBackoff;
  while (true) {
    if (peerDataSuffices(Topic, Age)) {
      awaitTime(Yield, PeerDataCheckInterval);
      continue;
    }
    log_offset Before = View.end();
    std::uint64_t ChangesBefore = Context.Registry.changes();
    bool WasLost = Availability.lost();
    if (WasLost && Topic == keyed_topic::Upstreams)
      Context.Updater.logReconnecting();
    // After a loss the first answer must not wait for news.
    auto Read =
        Follower.poll(*Log, WasLost ? milliseconds(0) : longPollTimeout(Topic));
    if (!Read) {
      if (WasLost && Topic == keyed_topic::Upstreams)
        Context.Updater.logUnavailable();
      Availability.failed(Read.error());
      awaitTime(Yield, Pause);
      Pause = std::min(2 * Pause, MaxFailurePause);
      continue;
    }
    Pause = FailureBackoff;
    if (Availability.succeeded() && Topic == keyed_topic::Upstreams)
      Context.Updater.logReconnected();
    startServingWhenReady();
    if (View.end() > Before)
      Exchanger.propagateChanges(Topic);
    awaitTime(Yield,
              pollPause(Topic, Context.Registry.changes() > ChangesBefore));
  }
}

milliseconds gateway_runtime::impl::pollPause(keyed_topic Topic,
                                              bool Changes) const {
  if (Topic != keyed_topic::Upstreams || Exchanger.reachesAllPeers())
    return PollPause;
  return Changes ? ChangedPollPause : UnchangedPollPause;
}

milliseconds gateway_runtime::impl::longPollTimeout(keyed_topic Topic) const {
  return Topic == keyed_topic::Settings && !Exchanger.reachesAllPeers()
             ? SettingsLongPollTimeout
             : LongPollTimeout;
}

milliseconds gateway_runtime::impl::maxPeerDataAge(keyed_topic Topic) const {
  if (Exchanger.reachesAllPeers())
    return MaxPeerDataAge;
  return Topic == keyed_topic::Settings ? ManyPeersMaxSettingsAge
                                        : ManyPeersMaxUpstreamsAge;
}

void gateway_runtime::impl::followSettings(asio::yield_context Yield) {
  follow(keyed_topic::Settings, SettingsView, Context.SettingsAge, Yield);
}

void gateway_runtime::impl::followUpstreams(asio::yield_context Yield) {
  follow(keyed_topic::Upstreams, UpstreamsView, Context.UpstreamsAge, Yield);
}

void gateway_runtime::impl::removeLapsedUpstreams() {
  for (const auto &Gone : Context.Updater.removeExpired()) {
    event_line Line("upstreams", "gone_after_return");
    Line.add("upstream", Gone.text());
    Context.Log.write(Line);
  }
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
    auto Read = Follower.poll(*Log, milliseconds(0));
    if (Read)
      Availability.succeeded();
    else
      Availability.failed(Read.error());
    bool NoPeers = !Read || Context.Instances.someAlive(1).empty();
    awaitTime(Yield, NoPeers ? NoPeersInterval : InstancesInterval);
  }
}

void gateway_runtime::impl::exchangeDigests(asio::yield_context Yield) {
  while (true) {
    Exchanger.exchangeWithPeers();
    awaitTime(Yield, DigestInterval);
  }
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
    removeLapsedUpstreams();
    awaitTime(Yield, PeriodicTaskInterval);
  }
}

gateway_runtime::gateway_runtime(gateway_context &Context, listeners Listeners,
                                 platform_log_provider &LogProvider,
                                 thread_pool &Pool)
    : Impl(std::make_shared<impl>(Context, Listeners, LogProvider, Pool)) {}

gateway_runtime::~gateway_runtime() { stop(); }

tl::expected<void, std::string> gateway_runtime::start() {
  return Impl->start();
}

void gateway_runtime::announceLeaving() { Impl->announceLeaving(); }

void gateway_runtime::stop() { Impl->stop(); }
