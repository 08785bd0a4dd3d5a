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

/// A peer link over WebSocket with CBOR. All connections and callbacks run on
/// one thread that the link owns. A connection on which queries time out
/// repeatedly is replaced.
class websocket_peer_link final : public peer_link {
public:
  websocket_peer_link(instance_id Self, const signer &Signer,
                      const time_source &Clock, peer_monitor &Monitor);
  ~websocket_peer_link() override;

  /// Listens on \p Address and starts the thread of the link. \p Responder
  /// answers the queries of peers. Returns an error message if the address
  /// cannot be bound.
  tl::expected<void, std::string> start(const network_address &Address,
                                        peer_responder &Responder);
  /// Stops the thread of the link. The callbacks of pending queries are not
  /// called.
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
