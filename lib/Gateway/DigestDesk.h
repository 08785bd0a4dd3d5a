#ifndef BLUEBELLKEEL_LIB_GATEWAY_DIGESTDESK_H
#define BLUEBELLKEEL_LIB_GATEWAY_DIGESTDESK_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Gateway/GatewayParts.h"
#include "bluebellkeel/Journal/KeyedView.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerResponder.h"

namespace bluebellkeel {

/// Exchanges digests with the peers, and fetches from them what the log has
/// not told this instance.
class digest_desk final : public peer_responder {
public:
  digest_desk(gateway_parts &Parts, keyed_view &Settings, keyed_view &Upstreams,
              peer_link &Link)
      : Parts(Parts), Settings(Settings), Upstreams(Upstreams), Link(Link) {}

  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override;
  /// Asks every peer, and the seeds while there is none.
  void round();
  /// The log or a peer brought something new. Among many instances few read
  /// the log, so the news goes on at once.
  void spreadNews();
  /// This instance has sent heavy work that its peers should know of.
  void tellLoad();

private:
  bool amongFew() const;
  std::optional<milliseconds> ageOf(const log_age &Age) const;
  /// What an instance in \p Centre is told.
  instance_digest digestFor(const data_centre_id &Centre);
  void ask(const instance_record &Peer);
  void absorb(const instance_digest &Digest);
  void fetchMissing(const instance_digest &Digest);
  void fetch(const instance_record &Peer, keyed_topic Topic, keyed_view &View);
  keyed_view &viewOf(keyed_topic Topic) {
    return Topic == keyed_topic::Upstreams ? Upstreams : Settings;
  }

  gateway_parts &Parts;
  keyed_view &Settings;
  keyed_view &Upstreams;
  peer_link &Link;
  absl::Mutex Mutex;
  std::optional<monotonic_time> SpreadAt ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_DIGESTDESK_H
