#ifndef BLUEBELLKEEL_LIB_GATEWAY_DIGESTDESK_H
#define BLUEBELLKEEL_LIB_GATEWAY_DIGESTDESK_H

#include "bluebellkeel/Gateway/GatewayParts.h"
#include "bluebellkeel/Journal/KeyedView.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerResponder.h"

namespace bluebellkeel {

/// Exchanges digests with the peers, and fetches from them what the log has
/// not told this instance.
class digest_desk final : public peer_responder {
public:
  digest_desk(gateway_parts &Parts, keyed_view &Settings,
              keyed_view &Upstreams, peer_link &Link)
      : Parts(Parts), Settings(Settings), Upstreams(Upstreams), Link(Link) {}

  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override;
  /// Asks every peer, and the seeds while there is none.
  void round();

private:
  instance_digest digest();
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
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_DIGESTDESK_H
