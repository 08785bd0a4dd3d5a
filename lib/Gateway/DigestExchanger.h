#ifndef BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H
#define BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Journal/KeyedView.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerResponder.h"

namespace bluebellkeel {

/// Exchanges digests with the peers, and fetches from them what the log has
/// not told this instance.
class digest_exchanger final : public peer_responder {
public:
  digest_exchanger(gateway_context &Context, keyed_view &Settings,
                   keyed_view &Upstreams, peer_link &Link)
      : Context(Context), Settings(Settings), Upstreams(Upstreams), Link(Link) {
  }

  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override;
  /// Asks every peer, and the seeds while there is none.
  void exchangeWithPeers();
  /// True when a round reaches every peer.
  bool reachesAllPeers() const;
  /// The log or a peer brought something new. Among many instances few read
  /// the log, so news that matters goes on at once.
  void propagateChanges(keyed_topic Topic);
  /// This instance has sent heavy work that its peers should know of.
  void announceLoad();

private:
  std::optional<milliseconds> ageOf(const log_freshness &Age) const;
  /// What an instance in \p Centre is told.
  instance_digest digestFor(const data_centre_id &Centre);
  void sendQuery(const instance_record &Peer);
  void merge(const instance_digest &Digest);
  void syncTopic(keyed_topic Topic, const instance_record &Peer, log_offset End,
                 const std::optional<milliseconds> &PeerAge);
  bool tryBeginFetch(keyed_topic Topic);
  /// \param KnownAt when the peer knew all of the topic.
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
  /// The roster's changes that the peers were last told of.
  std::uint64_t PropagatedChanges ABSL_GUARDED_BY(Mutex) = 0;
  /// When records were last asked for, while no answer has come.
  std::map<keyed_topic, monotonic_time> FetchStartTimes ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_DIGESTEXCHANGER_H
