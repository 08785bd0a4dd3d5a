#include "bluebellkeel/Peer/ViewSynchronizer.h"

using namespace bluebellkeel;

/// Time without a response from the log after which records are fetched from
/// peers; a read in progress may still return them until then.
static constexpr milliseconds LogSilenceLimit{1200};

/// Time to wait for a peer's records before they are requested from another
/// peer.
static constexpr milliseconds FetchTimeout{300};

view_state view_synchronizer::state() const {
  // The age comes first: records that arrive in between make the end newer than
  // the age tells, never the reverse.
  auto Age = Freshness.age(Clock.monotonicNow());
  return view_state(View.end(), Age);
}

view_answer view_synchronizer::answer(const log_position &After) const {
  auto Age = Freshness.age(Clock.monotonicNow());
  return view_answer(Topic, View.since(After), Age);
}

void view_synchronizer::compare(const instance_record &Peer,
                                const view_state &State,
                                std::optional<monotonic_time> AskedAt) {
  log_position End = View.end();
  if (State.end() <= End) {
    // A view of an earlier era says nothing about the restored log.
    if (AskedAt && State.end().era() == End.era())
      noteComplete(*AskedAt, State.age());
    return;
  }
  if (isLogSilent(Clock.monotonicNow()))
    fetch(Peer);
}

void view_synchronizer::noteComplete(monotonic_time AskedAt,
                                     const std::optional<milliseconds> &Age) {
  if (Age)
    Freshness.notePeerReport(AskedAt - *Age);
}

bool view_synchronizer::isLogSilent(monotonic_time Now) const {
  auto ReadAt = Freshness.localReadAsOf();
  return !ReadAt || Now - *ReadAt > LogSilenceLimit;
}

/// Marks a fetch as started. False if another is in progress; a fetch without
/// an answer counts as in progress until FetchTimeout.
bool view_synchronizer::tryBeginFetch(monotonic_time Now) {
  absl::MutexLock Lock(&Mutex);
  if (FetchStartedAt && Now - *FetchStartedAt < FetchTimeout)
    return false;
  FetchStartedAt = Now;
  return true;
}

void view_synchronizer::fetch(const instance_record &Peer) {
  monotonic_time AskedAt = Clock.monotonicNow();
  if (!tryBeginFetch(AskedAt))
    return;
  Link.sendQuery(Peer, view_query(Topic, View.end()),
                 [this, AskedAt](const std::optional<peer_body> &Body) {
                   handleAnswer(Body, AskedAt);
                 });
}

void view_synchronizer::handleAnswer(const std::optional<peer_body> &Body,
                                     monotonic_time AskedAt) {
  {
    absl::MutexLock Lock(&Mutex);
    FetchStartedAt.reset();
  }
  const auto *Answer = Body ? std::get_if<view_answer>(&*Body) : nullptr;
  if (!Answer || Answer->topic() != Topic)
    return;
  View.apply(Answer->page());
  noteComplete(AskedAt, Answer->age());
  Listener.onRecordsFetched(Topic, Answer->page());
}
