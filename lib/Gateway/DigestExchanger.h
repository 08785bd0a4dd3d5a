#ifndef BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H
#define BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H

#include "DutyRunner.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Peer/PeerResponder.h"
#include "bluebellkeel/Peer/ViewSynchronizer.h"

namespace bluebellkeel {

/// Exchanges digests with peers, and keeps the views of the settings and the
/// upstreams up to date with theirs.
class digest_exchanger final : public peer_responder, private view_listener {
public:
  digest_exchanger(gateway_context &Context, keyed_view &Settings,
                   keyed_view &Upstreams, duty_runner &Duties, peer_link &Link)
      : Context(Context), Duties(Duties), Link(Link),
        Settings(keyed_topic::Settings, Settings, Context.SettingsAge, Link,
                 Context.Clock, *this),
        Upstreams(keyed_topic::Upstreams, Upstreams, Context.UpstreamsAge, Link,
                  Context.Clock, *this) {}

  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override;
  /// Exchanges digests with every peer or, among many instances, with a sample.
  /// Also contacts the seeds while no peer is known to be alive.
  void exchangeWithPeers();
  /// True if each exchange reaches every peer.
  bool reachesAllPeers() const;
  /// Exchanges digests early after the log or a peer delivered new records.
  /// Does nothing if each exchange reaches every peer. With many instances only
  /// a few read the log, so important changes do not wait for the next regular
  /// exchange.
  void propagateChanges(keyed_topic Topic);
  /// Exchanges digests early after this instance sent heavy work to an
  /// upstream. Does nothing unless each exchange reaches every peer.
  void announceLoad();

private:
  /// Returns this instance's digest for a peer in \p Centre.
  instance_digest digestFor(const data_centre_id &Centre);
  void sendQuery(const instance_record &Peer);
  /// \param AskedAt time of the query that \p Digest answers; empty if it came
  /// as a query itself.
  void merge(const instance_digest &Digest,
             std::optional<monotonic_time> AskedAt);
  void logBlock(const instance_id &Peer, const fingerprint &Request);
  void logNotice(const instance_id &Peer, const notice_report &Notice);
  void onRecordsFetched(keyed_topic Topic, const keyed_page &Page) override;
  const view_synchronizer &viewOf(keyed_topic Topic) const {
    return Topic == keyed_topic::Upstreams ? Upstreams : Settings;
  }

  gateway_context &Context;
  duty_runner &Duties;
  peer_link &Link;
  view_synchronizer Settings;
  view_synchronizer Upstreams;
  absl::Mutex Mutex;
  std::optional<monotonic_time> PropagatedAt ABSL_GUARDED_BY(Mutex);
  /// The registry's change count at the last early exchange.
  std::uint64_t PropagatedChanges ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H
