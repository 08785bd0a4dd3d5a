#ifndef BLUEBELLKEEL_PEER_VIEWSYNCHRONIZER_H
#define BLUEBELLKEEL_PEER_VIEWSYNCHRONIZER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Journal/KeyedView.h"
#include "bluebellkeel/Journal/LogFreshness.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/ViewListener.h"
#include "bluebellkeel/Peer/ViewState.h"

namespace bluebellkeel {

/// Keeps an instance's view of one topic up to date with those of its peers:
/// fetches records that a peer has first, and notes as of when the view is
/// complete. Thread-safe.
class view_synchronizer {
public:
  view_synchronizer(keyed_topic Topic, keyed_view &View,
                    log_freshness &Freshness, peer_link &Link,
                    const time_source &Clock, view_listener &Listener)
      : Topic(Topic), View(View), Freshness(Freshness), Link(Link),
        Clock(Clock), Listener(Listener) {}

  /// Returns the state of this instance's view.
  view_state state() const;
  /// Returns the records after \p After for a peer.
  view_answer answer(const log_position &After) const;

  /// Compares the view of \p Peer with this one, and fetches the records that
  /// this one lacks if the log is silent.
  ///
  /// \param AskedAt time of the query that \p State answers; empty if it came
  /// without one. A message may be underway for any time, so the age in such a
  /// state says nothing.
  void compare(const instance_record &Peer, const view_state &State,
               std::optional<monotonic_time> AskedAt);

private:
  bool isLogSilent(monotonic_time Now) const;
  bool tryBeginFetch(monotonic_time Now);
  void fetch(const instance_record &Peer);
  void handleAnswer(const std::optional<peer_body> &Body,
                    monotonic_time AskedAt);
  void noteComplete(monotonic_time AskedAt,
                    const std::optional<milliseconds> &Age);

  keyed_topic Topic;
  keyed_view &View;
  log_freshness &Freshness;
  peer_link &Link;
  const time_source &Clock;
  view_listener &Listener;
  absl::Mutex Mutex;
  /// Start of the fetch in progress.
  std::optional<monotonic_time> FetchStartedAt ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWSYNCHRONIZER_H
