#ifndef BLUEBELLKEEL_PEER_WEBSOCKETPEERLINK_H
#define BLUEBELLKEEL_PEER_WEBSOCKETPEERLINK_H

#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerMonitor.h"
#include "bluebellkeel/Peer/PeerResponder.h"
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace bluebellkeel {

/// A peer link over WebSocket with CBOR. All of it runs on one thread of its
/// own. A connection whose questions stay without answers is replaced.
class websocket_peer_link final : public peer_link {
public:
  websocket_peer_link(instance_id Self, const signer &Signer,
                      const time_source &Clock, peer_monitor &Monitor);
  ~websocket_peer_link() override;

  /// Starts to listen and to run; \p Responder answers what peers ask.
  tl::expected<void, std::string> start(const network_address &Address,
                                        peer_responder &Responder);
  void stop();

  void sendQuery(const instance_record &Peer, peer_body Query,
                 callback Done) override;
  void sendOneWay(const instance_record &Peer, peer_body Message) override;

private:
  class impl;
  std::unique_ptr<impl> Impl;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_WEBSOCKETPEERLINK_H
