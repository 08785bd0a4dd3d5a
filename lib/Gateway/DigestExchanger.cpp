#include "DigestExchanger.h"
#include "absl/strings/str_cat.h"

using namespace bluebellkeel;

/// Minimum time between two extra exchanges for changes of the settings and of
/// the upstreams. Changes within the interval wait for the next regular
/// exchange.
static constexpr milliseconds SettingsPropagationInterval{150};
static constexpr milliseconds UpstreamsPropagationInterval{400};

/// Maximum number of known instances in a digest. The limit keeps the size of a
/// digest constant as the number of instances grows.
static constexpr std::size_t MaxKnownPeersInDigest = 3;

instance_digest digest_exchanger::digestFor(const data_centre_id &Centre) {
  instance_digest::fields Fields;
  Fields.Sender = Context.self();
  Fields.Settings = Settings.state();
  Fields.Upstreams = Upstreams.state();
  Fields.Loads = Context.Loads.localLoads();
  Fields.RollOuts = Context.RollOuts.evidence();
  Fields.RequestCrashes = Context.Crashes.report();
  Fields.PartCrashes = Context.PartCrashes.report();
  Fields.Notices = Context.Notices.report();
  // A few instances are enough for a peer that knows no others, since it
  // contacts these next.
  Fields.KnownInstances = Context.Instances.aliveInTurn(MaxKnownPeersInDigest);
  if (Centre == Context.Settings.DataCentre)
    Fields.LivenessReports = Context.Instances.livenessReports(Centre);
  return instance_digest(std::move(Fields));
}

void digest_exchanger::merge(const instance_digest &Digest,
                             std::optional<monotonic_time> AskedAt) {
  const instance_id &Peer = Digest.sender().id();
  if (Peer == Context.Settings.Instance)
    return;
  Context.Instances.recordContact(Digest.sender());
  for (const auto &Record : Digest.knownInstances()) {
    if (Record.id() != Context.Settings.Instance)
      Context.Instances.recordMention(Record);
  }
  for (const auto &LivenessReport : Digest.livenessReports()) {
    if (LivenessReport.id() != Context.Settings.Instance)
      Context.Instances.recordReport(LivenessReport);
  }
  Context.Loads.notePeerReport(Peer, Digest.loads());
  Context.RollOuts.merge(Peer, Digest.rollOuts());
  for (const auto &Request : Context.Crashes.merge(Digest.requestCrashes()))
    logBlock(Peer, Request);
  Context.PartCrashes.merge(Digest.partCrashes());
  for (const auto &News : Context.Notices.merge(Digest.notices()))
    logNotice(Peer, News);
  Settings.compare(Digest.sender(), Digest.settings(), AskedAt);
  Upstreams.compare(Digest.sender(), Digest.upstreams(), AskedAt);
}

void digest_exchanger::logBlock(const instance_id &Peer,
                                const fingerprint &Request) {
  event_line Line("crashes", "block_from_peer");
  Line.add("peer", Peer.text()).add("block", "request " + Request.text());
  Context.Log.write(Line);
}

void digest_exchanger::logNotice(const instance_id &Peer,
                                 const notice_report &Notice) {
  event_line Line("upstreams", "notice_from_peer");
  Line.add("peer", Peer.text())
      .add("upstream", Notice.upstream().upstream().text())
      .add("incarnation", static_cast<std::int64_t>(Notice.upstream().number()))
      .add("leaving", Notice.leaving())
      .add("age_ms", Notice.age().count());
  if (Notice.rateLimit())
    Line.add("limit_per_s", absl::StrCat(*Notice.rateLimit()));
  Context.Log.write(Line);
}

void digest_exchanger::onRecordsFetched(keyed_topic Topic,
                                        const keyed_page &Page) {
  event_line Line("peers", "records_fetched");
  Line.add("topic", toString(Topic))
      .add("count", static_cast<std::int64_t>(Page.records().size()))
      .add("era", static_cast<std::int64_t>(Page.end().era()))
      .add("offset", static_cast<std::int64_t>(Page.end().offset().value()));
  Context.Log.write(Line);
  propagateChanges(Topic);
}

std::optional<peer_body> digest_exchanger::answer(const instance_id &From,
                                                  const peer_body &Body) {
  if (const auto *Digest = std::get_if<instance_digest>(&Body)) {
    merge(*Digest, std::nullopt);
    return peer_body(digestFor(Digest->sender().dataCentre()));
  }
  if (const auto *Query = std::get_if<view_query>(&Body))
    return peer_body(viewOf(Query->topic()).answer(Query->after()));
  if (const auto *Counts = std::get_if<usage_counts>(&Body))
    return peer_body(Duties.merge(From, *Counts));
  return std::nullopt;
}

void digest_exchanger::sendQuery(const instance_record &Peer) {
  monotonic_time AskedAt = Context.Clock.monotonicNow();
  Link.sendQuery(Peer, digestFor(Peer.dataCentre()),
                 [this, AskedAt](const std::optional<peer_body> &Body) {
                   const auto *Digest =
                       Body ? std::get_if<instance_digest>(&*Body) : nullptr;
                   if (Digest)
                     merge(*Digest, AskedAt);
                 });
}

bool digest_exchanger::reachesAllPeers() const {
  return Context.Instances.knownInstances().size() <=
         peer_sampler::FullMeshLimit;
}

void digest_exchanger::announceLoad() {
  // With many instances, an exchange reaches too few peers to justify its CPU
  // time.
  if (reachesAllPeers())
    exchangeWithPeers();
}

void digest_exchanger::propagateChanges(keyed_topic Topic) {
  if (reachesAllPeers())
    return;
  monotonic_time Now = Context.Clock.monotonicNow();
  std::uint64_t Changes = Context.Registry.changes();
  milliseconds Interval = Topic == keyed_topic::Upstreams
                              ? UpstreamsPropagationInterval
                              : SettingsPropagationInterval;
  {
    absl::MutexLock Lock(&Mutex);
    // Upstreams re-register continually; re-registrations without a change wait
    // for the next regular exchange.
    if (Topic == keyed_topic::Upstreams && Changes == PropagatedChanges)
      return;
    if (PropagatedAt && Now - *PropagatedAt < Interval)
      return;
    PropagatedAt = Now;
    PropagatedChanges = Changes;
  }
  exchangeWithPeers();
}

void digest_exchanger::exchangeWithPeers() {
  for (const auto &Peer :
       peer_sampler::sample(Context.Instances.knownInstances(),
                            Context.Settings.DataCentre, Context.Random))
    sendQuery(Peer);
  if (Context.Instances.anyAlive())
    return;
  for (const auto &Seed : Context.Reloadable.get().Seeds) {
    if (Seed == Context.Settings.PeerAddress)
      continue;
    sendQuery(instance_record(instance_id(), data_centre_id(),
                              network_address(), Seed, instance_state::Live));
  }
}
