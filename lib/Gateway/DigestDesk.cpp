#include "DigestDesk.h"

using namespace bluebellkeel;

/// Crashes older than this have been told to every peer.
static constexpr milliseconds CrashAge{6000};

/// How long the log may stay silent before the peers' records are fetched: a
/// read that is under way may still bring them.
static constexpr milliseconds LogPatience{1200};

instance_digest digest_desk::digest() {
  instance_digest::fields Fields;
  Fields.Sender = Parts.self();
  Fields.SettingsEnd = Settings.end();
  Fields.UpstreamsEnd = Upstreams.end();
  if (Parts.SettingsAge.knownAt(Parts.Clock.monotonicNow()))
    Fields.SettingsAge = Parts.State.settingsAge();
  Fields.Loads = Parts.Loads.own();
  Fields.RollOuts = Parts.RollOuts.evidence();
  for (const auto &[Request, Upstream] : Parts.Crashes.recent(CrashAge))
    Fields.Crashes.emplace_back(Request, Upstream);
  Fields.Known = Parts.Instances.alive();
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
  Parts.Loads.notePeer(Peer, Digest.loads());
  Parts.RollOuts.absorb(Peer, Digest.rollOuts());
  for (const auto &Crash : Digest.crashes())
    Parts.Crashes.noteCrash(Crash.request(), Crash.upstream());
  if (Digest.settingsAge() && Digest.settingsEnd() <= Settings.end())
    Parts.SettingsAge.notePeer(Parts.Clock.monotonicNow() -
                               *Digest.settingsAge());
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
  };
  Link.ask(Peer, view_query(Topic, View.end()), Take);
}

std::optional<peer_body> digest_desk::answer(const instance_id & /*From*/,
                                             const peer_body &Body) {
  if (const auto *Digest = std::get_if<instance_digest>(&Body)) {
    absorb(*Digest);
    return peer_body(digest());
  }
  if (const auto *Query = std::get_if<view_query>(&Body))
    return peer_body(view_answer(
        Query->topic(), viewOf(Query->topic()).since(Query->after())));
  return std::nullopt;
}

void digest_desk::ask(const instance_record &Peer) {
  Link.ask(Peer, digest(), [this](const std::optional<peer_body> &Body) {
    const auto *Digest = Body ? std::get_if<instance_digest>(&*Body) : nullptr;
    if (Digest)
      absorb(*Digest);
  });
}

void digest_desk::round() {
  for (const auto &Peer : Parts.Instances.known())
    ask(Peer);
  if (!Parts.Instances.alive().empty())
    return;
  for (const auto &Seed : Parts.Settings.Seeds) {
    if (Seed == Parts.Settings.PeerAddress)
      continue;
    ask(instance_record(instance_id(), data_centre_id(), network_address(),
                        Seed, instance_state::Live));
  }
}
