#include "bluebellkeel/Gateway/GatewayRuntime.h"
#include "ContactWatch.h"
#include "DigestDesk.h"
#include "bluebellkeel/Http/Await.h"
#include "bluebellkeel/Journal/KeyedFollower.h"
#include "bluebellkeel/Peer/WebsocketPeerLink.h"
#include "bluebellkeel/Telemetry/PeerCounter.h"
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

using namespace bluebellkeel;

namespace asio = boost::asio;

/// How long one read waits for news. Calls are paid for; the probes of the
/// connection notice sooner when it has gone silent.
static constexpr milliseconds NewsWait{20000};

/// The same for the settings among many instances, most of which do not read
/// themselves: what the readers know counts as of their last answer, and a
/// route that is missing from older settings is not taken for certain.
static constexpr milliseconds ReadersWait{1500};

/// Pause after a read that brought news, so that a burst of changes costs few
/// calls; small against the time in which a change is to be in force.
static constexpr milliseconds NewsPause{100};

/// The same after a read that brought nothing but signs of life, among many
/// instances: their upstreams are many as well, and each read would return at
/// once. Twice that, the way through two peers included, is well inside the
/// time for which an upstream that leaves still serves.
static constexpr milliseconds BeatPause{800};

/// The same when it brought changes: where many upstreams come and go, so do
/// changes all the time.
static constexpr milliseconds ChangesPause{400};

/// Pause after a read that failed; doubles up to the longest one.
static constexpr milliseconds FailureBackoff{250};
static constexpr milliseconds LongestFailurePause{1000};

/// How old the knowledge of peers may be for an instance that does not read
/// itself, and how often it looks. Among few it stays below what a reader that
/// waits for news is sure of; among many it holds a reader's wait for the
/// settings, or the silence after which it gives up a wait for upstreams, and
/// two digests.
static constexpr milliseconds PeersPatience{2000};
static constexpr milliseconds ManyPeersSettingsPatience{3000};
static constexpr milliseconds ManyPeersUpstreamsPatience{5000};
static constexpr milliseconds PeersCheck{400};

static constexpr milliseconds DigestInterval{700};
static constexpr milliseconds DutyInterval{400};

/// When the list of instances is read: soon after the start, when all of them
/// have registered, then seldom, since peers pass on whom they know.
static constexpr milliseconds FirstInstancesPause{600};
static constexpr milliseconds InstancesInterval{20000};
static constexpr milliseconds LonelyInterval{2000};

class gateway_runtime::impl : public std::enable_shared_from_this<impl> {
public:
  impl(gateway_parts &Parts, listeners Listeners, platform_access &Access,
       thread_pool &Pool)
      : Parts(Parts), Access(Access), Pool(Pool),
        SettingsView(Listeners.Settings), UpstreamsView(Listeners.Upstreams),
        InstancesView(Listeners.Instances), Signer(Parts.Settings.PeerKey),
        Counter(Parts.Metrics),
        Link(Parts.Settings.Instance, Signer, Parts.Clock, Counter),
        Desk(Parts, SettingsView, UpstreamsView, Link) {}

  tl::expected<void, std::string> start();
  void announceLeaving() { Desk.round(); }
  void stop() {
    Parts.HeavyLoad.connect(nullptr);
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
  void doDuties(asio::yield_context Yield);
  bool peersKeepUp(keyed_topic Topic, const log_freshness &Age);
  milliseconds newsWait(keyed_topic Topic) const;
  milliseconds peersPatience(keyed_topic Topic) const;
  milliseconds pauseAfter(keyed_topic Topic, bool Changes) const;
  void serveOnceKnown();
  void removeMissing();

  gateway_parts &Parts;
  platform_access &Access;
  thread_pool &Pool;
  keyed_view SettingsView;
  keyed_view UpstreamsView;
  keyed_view InstancesView;
  log_freshness InstancesAge{client_stream::SilenceLimit};
  hmac_signer Signer;
  peer_counter Counter;
  websocket_peer_link Link;
  digest_desk Desk;
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
  auto Linked = Link.start(Parts.Settings.PeerAddress, Desk);
  if (!Linked)
    return Linked;
  Parts.HeavyLoad.connect([this] { Desk.tellLoad(); });
  spawn(&impl::followSettings);
  spawn(&impl::followUpstreams);
  spawn(&impl::followInstances);
  spawn(&impl::exchangeDigests);
  spawn(&impl::doDuties);
  return {};
}

void gateway_runtime::impl::serveOnceKnown() {
  if (Parts.State.phase() != serving_phase::Starting ||
      !Parts.Tables.current() ||
      !Parts.UpstreamsAge.completeAsOf(Parts.Clock.monotonicNow()))
    return;
  Parts.State.advance(serving_phase::Serving);
  event_line Line("gateway", "serving");
  Line.add("settings",
           static_cast<std::int64_t>(Parts.Tables.current()->version()));
  Parts.Log.write(Line);
}

/// Where a data centre has many instances, a few of them read the log and the
/// others learn from their digests, as long as these are fresh.
bool gateway_runtime::impl::peersKeepUp(keyed_topic Topic,
                                        const log_freshness &Age) {
  monotonic_time Now = Parts.Clock.monotonicNow();
  auto KnownAt = Age.completeAsOf(Now);
  if (!KnownAt || Now - *KnownAt > peersPatience(Topic) ||
      Parts.State.phase() == serving_phase::Starting)
    return false;
  return reader_election::isRedundantReader(Parts.Settings.Instance,
                                            Parts.Settings.DataCentre,
                                            Parts.Instances.alive());
}

void gateway_runtime::impl::follow(keyed_topic Topic, keyed_view &View,
                                   log_freshness &Age,
                                   asio::yield_context Yield) {
  auto Log = Access.openLog(Yield);
  keyed_follower Follower(Topic, View, Age, Parts.Clock);
  contact_watch Contact(Topic, Parts.Clock, Parts.Log);
  milliseconds Pause = FailureBackoff;
  while (true) {
    if (peersKeepUp(Topic, Age)) {
      awaitTime(Yield, PeersCheck);
      continue;
    }
    log_offset Before = View.end();
    std::uint64_t ChangesBefore = Parts.Registry.changes();
    bool WasLost = Contact.lost();
    if (WasLost && Topic == keyed_topic::Upstreams)
      Parts.Updater.logReconnecting();
    // After a loss the first answer must not wait for news.
    auto Read =
        Follower.poll(*Log, WasLost ? milliseconds(0) : newsWait(Topic));
    if (!Read) {
      if (WasLost && Topic == keyed_topic::Upstreams)
        Parts.Updater.logUnavailable();
      Contact.failed(Read.error());
      awaitTime(Yield, Pause);
      Pause = std::min(2 * Pause, LongestFailurePause);
      continue;
    }
    Pause = FailureBackoff;
    if (Contact.succeeded() && Topic == keyed_topic::Upstreams)
      Parts.Updater.logReconnected();
    serveOnceKnown();
    if (View.end() > Before)
      Desk.spreadNews(Topic);
    awaitTime(Yield,
              pauseAfter(Topic, Parts.Registry.changes() > ChangesBefore));
  }
}

milliseconds gateway_runtime::impl::pauseAfter(keyed_topic Topic,
                                               bool Changes) const {
  if (Topic != keyed_topic::Upstreams || Desk.amongFew())
    return NewsPause;
  return Changes ? ChangesPause : BeatPause;
}

milliseconds gateway_runtime::impl::newsWait(keyed_topic Topic) const {
  return Topic == keyed_topic::Settings && !Desk.amongFew() ? ReadersWait
                                                            : NewsWait;
}

milliseconds gateway_runtime::impl::peersPatience(keyed_topic Topic) const {
  if (Desk.amongFew())
    return PeersPatience;
  return Topic == keyed_topic::Settings ? ManyPeersSettingsPatience
                                        : ManyPeersUpstreamsPatience;
}

void gateway_runtime::impl::followSettings(asio::yield_context Yield) {
  follow(keyed_topic::Settings, SettingsView, Parts.SettingsAge, Yield);
}

void gateway_runtime::impl::followUpstreams(asio::yield_context Yield) {
  follow(keyed_topic::Upstreams, UpstreamsView, Parts.UpstreamsAge, Yield);
}

void gateway_runtime::impl::removeMissing() {
  for (const auto &Gone : Parts.Updater.removeExpired()) {
    event_line Line("upstreams", "gone_after_return");
    Line.add("upstream", Gone.text());
    Parts.Log.write(Line);
  }
}

void gateway_runtime::impl::registerSelf(asio::yield_context Yield) {
  auto Log = Access.openLog(Yield);
  keyed_record Record = Access.registration(Parts.self());
  while (!Log->append(keyed_topic::Instances, Record.name(), Record.value(),
                      std::nullopt))
    awaitTime(Yield, FailureBackoff);
}

void gateway_runtime::impl::followInstances(asio::yield_context Yield) {
  registerSelf(Yield);
  awaitTime(Yield, FirstInstancesPause);
  auto Log = Access.openLog(Yield);
  keyed_follower Follower(keyed_topic::Instances, InstancesView, InstancesAge,
                          Parts.Clock);
  contact_watch Contact(keyed_topic::Instances, Parts.Clock, Parts.Log);
  while (true) {
    auto Read = Follower.poll(*Log, milliseconds(0));
    if (Read)
      Contact.succeeded();
    else
      Contact.failed(Read.error());
    bool Lonely = !Read || Parts.Instances.someAlive(1).empty();
    awaitTime(Yield, Lonely ? LonelyInterval : InstancesInterval);
  }
}

void gateway_runtime::impl::exchangeDigests(asio::yield_context Yield) {
  while (true) {
    Desk.round();
    awaitTime(Yield, DigestInterval);
  }
}

void gateway_runtime::impl::doDuties(asio::yield_context Yield) {
  auto StatusLog = Access.openStatusLog(Yield);
  roll_out_status_publisher Publisher(Parts.Settings.Instance, Parts.Clock,
                                      Parts.RollOuts, *StatusLog);
  while (true) {
    if (Parts.State.phase() == serving_phase::Serving) {
      for (const auto &Written : Publisher.run(Parts.ports().senders())) {
        event_line Line("roll_out", "status_written");
        Line.add("service", Written.service().text())
            .add("target", Written.target().text())
            .add("stage", static_cast<std::int64_t>(Written.stage()));
        Parts.Log.write(Line);
      }
    }
    removeMissing();
    awaitTime(Yield, DutyInterval);
  }
}

gateway_runtime::gateway_runtime(gateway_parts &Parts, listeners Listeners,
                                 platform_access &Access, thread_pool &Pool)
    : Impl(std::make_shared<impl>(Parts, Listeners, Access, Pool)) {}

gateway_runtime::~gateway_runtime() { stop(); }

tl::expected<void, std::string> gateway_runtime::start() {
  return Impl->start();
}

void gateway_runtime::announceLeaving() { Impl->announceLeaving(); }

void gateway_runtime::stop() { Impl->stop(); }
