#include "DigestDesk.h"

using namespace bluebellkeel;

/// Crashes older than this have been told to every peer.
static constexpr milliseconds CrashAge{6000};

/// Least time between two rounds for the sake of news; what comes in between
/// goes with the next regular round.
static constexpr milliseconds NewsInterval{150};

/// Instances that a digest names, so that its size stays constant among many.
static constexpr std::size_t NamesPassedOn = 3;

/// How long the log may stay silent before the peers' records are fetched: a
/// read that is under way may still bring them.
static constexpr milliseconds LogPatience{1200};

std::optional<milliseconds> digest_desk::ageOf(const log_age &Age) const {
  monotonic_time Now = Parts.Clock.monotonicNow();
  auto KnownAt = Age.knownAt(Now);
  if (!KnownAt)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(Now - *KnownAt);
}

instance_digest digest_desk::digestFor(const data_centre_id &Centre) {
  instance_digest::fields Fields;
  Fields.Sender = Parts.self();
  Fields.SettingsEnd = Settings.end();
  Fields.UpstreamsEnd = Upstreams.end();
  Fields.SettingsAge = ageOf(Parts.SettingsAge);
  Fields.UpstreamsAge = ageOf(Parts.UpstreamsAge);
  Fields.Loads = Parts.Loads.own();
  Fields.RollOuts = Parts.RollOuts.evidence();
  for (const auto &[Request, Upstream] : Parts.Crashes.recent(CrashAge))
    Fields.Crashes.emplace_back(Request, Upstream);
  // A few names suffice for one who knows nobody: it asks these in turn.
  Fields.Known = Parts.Instances.alive();
  if (Fields.Known.size() > NamesPassedOn)
    Fields.Known.resize(NamesPassedOn);
  if (Centre == Parts.Settings.DataCentre)
    Fields.Sightings = Parts.Instances.sightings(Centre);
  return instance_digest(std::move(Fields));
}

void digest_desk::absorb(const instance_digest &Digest) {
  const instance_id &Peer = Digest.sender().id();
  if (Peer == Parts.Settings.Instance)
    return;
  Parts.Instances.hear(Digest.sender());
  for (const auto &Record : Digest.known()) {
    if (Record.id() != Parts.Settings.Instance)
      Parts.Instances.learn(Record);
  }
  for (const auto &Sighting : Digest.sightings()) {
    if (Sighting.id() != Parts.Settings.Instance)
      Parts.Instances.sighted(Sighting);
  }
  Parts.Loads.notePeer(Peer, Digest.loads());
  Parts.RollOuts.absorb(Peer, Digest.rollOuts());
  for (const auto &Crash : Digest.crashes())
    Parts.Crashes.notePeerCrash(Crash.request(), Crash.upstream());
  monotonic_time Now = Parts.Clock.monotonicNow();
  if (Digest.settingsAge() && Digest.settingsEnd() <= Settings.end())
    Parts.SettingsAge.notePeer(Now - *Digest.settingsAge());
  if (Digest.upstreamsAge() && Digest.upstreamsEnd() <= Upstreams.end())
    Parts.UpstreamsAge.notePeer(Now - *Digest.upstreamsAge());
  fetchMissing(Digest);
}

static bool silent(const log_age &Age, monotonic_time Now) {
  auto ReadAt = Age.ownAt(Now);
  return !ReadAt || Now - *ReadAt > LogPatience;
}

void digest_desk::fetchMissing(const instance_digest &Digest) {
  monotonic_time Now = Parts.Clock.monotonicNow();
  if (Digest.settingsEnd() > Settings.end() && silent(Parts.SettingsAge, Now))
    fetch(Digest.sender(), keyed_topic::Settings, Settings);
  if (Digest.upstreamsEnd() > Upstreams.end() &&
      silent(Parts.UpstreamsAge, Now))
    fetch(Digest.sender(), keyed_topic::Upstreams, Upstreams);
}

void digest_desk::fetch(const instance_record &Peer, keyed_topic Topic,
                        keyed_view &View) {
  auto Take = [this, Topic, &View](const std::optional<peer_body> &Body) {
    const auto *Answer = Body ? std::get_if<view_answer>(&*Body) : nullptr;
    if (!Answer || Answer->topic() != Topic)
      return;
    View.apply(Answer->page());
    event_line Line("peers", "records_fetched");
    Line.add("topic", toString(Topic))
        .add("count",
             static_cast<std::int64_t>(Answer->page().records().size()))
        .add("offset", static_cast<std::int64_t>(Answer->page().end().value()));
    Parts.Log.write(Line);
    spreadNews();
  };
  Link.ask(Peer, view_query(Topic, View.end()), Take);
}

std::optional<peer_body> digest_desk::answer(const instance_id & /*From*/,
                                             const peer_body &Body) {
  if (const auto *Digest = std::get_if<instance_digest>(&Body)) {
    absorb(*Digest);
    return peer_body(digestFor(Digest->sender().dataCentre()));
  }
  if (const auto *Query = std::get_if<view_query>(&Body))
    return peer_body(view_answer(Query->topic(),
                                 viewOf(Query->topic()).since(Query->after())));
  return std::nullopt;
}

void digest_desk::ask(const instance_record &Peer) {
  Link.ask(Peer, digestFor(Peer.dataCentre()),
           [this](const std::optional<peer_body> &Body) {
             const auto *Digest =
                 Body ? std::get_if<instance_digest>(&*Body) : nullptr;
             if (Digest)
               absorb(*Digest);
           });
}

bool digest_desk::amongFew() const {
  return Parts.Instances.known().size() <= peer_sampler::AllUpTo;
}

void digest_desk::tellLoad() {
  // Among many, a round reaches too few to be worth its processor time.
  if (amongFew())
    round();
}

void digest_desk::spreadNews() {
  if (amongFew())
    return;
  monotonic_time Now = Parts.Clock.monotonicNow();
  {
    absl::MutexLock Lock(&Mutex);
    if (SpreadAt && Now - *SpreadAt < NewsInterval)
      return;
    SpreadAt = Now;
  }
  round();
}

void digest_desk::round() {
  for (const auto &Peer : peer_sampler::sample(
           Parts.Instances.known(), Parts.Settings.DataCentre, Parts.Random))
    ask(Peer);
  if (!Parts.Instances.alive().empty())
    return;
  for (const auto &Seed : Parts.Rules.get().Seeds) {
    if (Seed == Parts.Settings.PeerAddress)
      continue;
    ask(instance_record(instance_id(), data_centre_id(), network_address(),
                        Seed, instance_state::Live));
  }
}
