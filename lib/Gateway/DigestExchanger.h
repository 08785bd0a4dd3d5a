#ifndef BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H
#define BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Journal/KeyedView.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerResponder.h"

namespace bluebellkeel {

/// Exchanges digests with peers and fetches records from them that this
/// instance has not received from the log.
class digest_exchanger final : public peer_responder {
public:
  digest_exchanger(gateway_context &Context, keyed_view &Settings,
                   keyed_view &Upstreams, peer_link &Link)
      : Context(Context), Settings(Settings), Upstreams(Upstreams), Link(Link) {
  }

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
  void merge(const instance_digest &Digest);
  void syncTopic(keyed_topic Topic, const instance_record &Peer, log_offset End,
                 const std::optional<milliseconds> &PeerAge);
  bool tryBeginFetch(keyed_topic Topic);
  /// \param KnownAt when the peer's view of the topic was complete; empty if
  /// unknown.
  void fetch(const instance_record &Peer, keyed_topic Topic,
             std::optional<monotonic_time> KnownAt);
  log_freshness &ageFor(keyed_topic Topic) {
    return Topic == keyed_topic::Upstreams ? Context.UpstreamsAge
                                           : Context.SettingsAge;
  }
  keyed_view &viewOf(keyed_topic Topic) {
    return Topic == keyed_topic::Upstreams ? Upstreams : Settings;
  }

  gateway_context &Context;
  keyed_view &Settings;
  keyed_view &Upstreams;
  peer_link &Link;
  absl::Mutex Mutex;
  std::optional<monotonic_time> PropagatedAt ABSL_GUARDED_BY(Mutex);
  /// The registry's change count at the last early exchange.
  std::uint64_t PropagatedChanges ABSL_GUARDED_BY(Mutex) = 0;
  /// Start time of the fetch in progress for each topic.
  std::map<keyed_topic, monotonic_time> FetchStartTimes ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H
