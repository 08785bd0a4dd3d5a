#include "DigestDesk.h"

using namespace bluebellkeel;

/// Crashes older than this have been told to every peer.
static constexpr milliseconds CrashAge{6000};

/// Least time between two rounds for the sake of news of the settings and of
/// the upstreams; what comes in between goes with the next regular round.
static constexpr milliseconds SettingsNewsInterval{150};
static constexpr milliseconds UpstreamsNewsInterval{400};

/// Instances that a digest names, so that its size stays constant among many.
static constexpr std::size_t NamesPassedOn = 3;

/// How long the log may stay silent before the peers' records are fetched: a
/// read that is under way may still bring them.
static constexpr milliseconds LogPatience{1200};

/// How long a peer may take with its records before another one is asked.
static constexpr milliseconds FetchPatience{300};

std::optional<milliseconds> digest_desk::ageOf(const log_freshness &Age) const {
  monotonic_time Now = Parts.Clock.monotonicNow();
  auto KnownAt = Age.completeAsOf(Now);
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
  Fields.Loads = Parts.Loads.ownLoads();
  Fields.RollOuts = Parts.RollOuts.evidence();
  for (const auto &[Request, Upstream] : Parts.Crashes.recent(CrashAge))
    Fields.Crashes.emplace_back(Request, Upstream);
  // A few names suffice for one who knows nobody: it asks these in turn.
  Fields.Known = Parts.Instances.someAlive(NamesPassedOn);
  if (Centre == Parts.Settings.DataCentre)
    Fields.LivenessReports = Parts.Instances.livenessReports(Centre);
  return instance_digest(std::move(Fields));
}

void digest_desk::absorb(const instance_digest &Digest) {
  const instance_id &Peer = Digest.sender().id();
  if (Peer == Parts.Settings.Instance)
    return;
  Parts.Instances.recordContact(Digest.sender());
  for (const auto &Record : Digest.known()) {
    if (Record.id() != Parts.Settings.Instance)
      Parts.Instances.recordMention(Record);
  }
  for (const auto &LivenessReport : Digest.livenessReports()) {
    if (LivenessReport.id() != Parts.Settings.Instance)
      Parts.Instances.recordReport(LivenessReport);
  }
  Parts.Loads.notePeer(Peer, Digest.loads());
  Parts.RollOuts.absorb(Peer, Digest.rollOuts());
  for (const auto &Crash : Digest.crashes())
    Parts.Crashes.notePeerCrash(Crash.request(), Crash.upstream());
  follow(keyed_topic::Settings, Digest.sender(), Digest.settingsEnd(),
         Digest.settingsAge());
  follow(keyed_topic::Upstreams, Digest.sender(), Digest.upstreamsEnd(),
         Digest.upstreamsAge());
}

static bool silent(const log_freshness &Age, monotonic_time Now) {
  auto ReadAt = Age.ownReadAsOf(Now);
  return !ReadAt || Now - *ReadAt > LogPatience;
}

/// A peer knows a topic up to \p End and knew all of it \p PeerAge ago.
void digest_desk::follow(keyed_topic Topic, const instance_record &Peer,
                         log_offset End,
                         const std::optional<milliseconds> &PeerAge) {
  monotonic_time Now = Parts.Clock.monotonicNow();
  std::optional<monotonic_time> KnownAt;
  if (PeerAge)
    KnownAt = Now - *PeerAge;
  if (End <= viewOf(Topic).end()) {
    if (KnownAt)
      ageFor(Topic).notePeer(*KnownAt);
    return;
  }
  if (silent(ageFor(Topic), Now))
    fetch(Peer, Topic, KnownAt);
}

/// One peer is asked at a time, as long as it answers.
bool digest_desk::mayFetch(keyed_topic Topic) {
  monotonic_time Now = Parts.Clock.monotonicNow();
  absl::MutexLock Lock(&Mutex);
  auto Began = FetchBegan.find(Topic);
  if (Began != FetchBegan.end() && Now - Began->second < FetchPatience)
    return false;
  FetchBegan[Topic] = Now;
  return true;
}

void digest_desk::fetch(const instance_record &Peer, keyed_topic Topic,
                        std::optional<monotonic_time> KnownAt) {
  if (!mayFetch(Topic))
    return;
  auto Take = [this, Topic, KnownAt](const std::optional<peer_body> &Body) {
    {
      absl::MutexLock Lock(&Mutex);
      FetchBegan.erase(Topic);
    }
    const auto *Answer = Body ? std::get_if<view_answer>(&*Body) : nullptr;
    if (!Answer || Answer->topic() != Topic)
      return;
    viewOf(Topic).apply(Answer->page());
    // The records are no older than what the peer said before of its age.
    if (KnownAt)
      ageFor(Topic).notePeer(*KnownAt);
    event_line Line("peers", "records_fetched");
    Line.add("topic", toString(Topic))
        .add("count",
             static_cast<std::int64_t>(Answer->page().records().size()))
        .add("offset", static_cast<std::int64_t>(Answer->page().end().value()));
    Parts.Log.write(Line);
    spreadNews(Topic);
  };
  Link.ask(Peer, view_query(Topic, viewOf(Topic).end()), Take);
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
  return Parts.Instances.known().size() <= peer_sampler::FullMeshLimit;
}

void digest_desk::tellLoad() {
  // Among many, a round reaches too few to be worth its processor time.
  if (amongFew())
    round();
}

void digest_desk::spreadNews(keyed_topic Topic) {
  if (amongFew())
    return;
  monotonic_time Now = Parts.Clock.monotonicNow();
  std::uint64_t Changes = Parts.Registry.changes();
  milliseconds Interval = Topic == keyed_topic::Upstreams
                              ? UpstreamsNewsInterval
                              : SettingsNewsInterval;
  {
    absl::MutexLock Lock(&Mutex);
    // Upstreams list themselves all the time; that alone can wait.
    if (Topic == keyed_topic::Upstreams && Changes == SpreadChanges)
      return;
    if (SpreadAt && Now - *SpreadAt < Interval)
      return;
    SpreadAt = Now;
    SpreadChanges = Changes;
  }
  round();
}

void digest_desk::round() {
  for (const auto &Peer : peer_sampler::sample(
           Parts.Instances.known(), Parts.Settings.DataCentre, Parts.Random))
    ask(Peer);
  if (!Parts.Instances.someAlive(1).empty())
    return;
  for (const auto &Seed : Parts.Rules.get().Seeds) {
    if (Seed == Parts.Settings.PeerAddress)
      continue;
    ask(instance_record(instance_id(), data_centre_id(), network_address(),
                        Seed, instance_state::Live));
  }
}
