#ifndef BLUEBELLKEEL_PEER_PEERLINK_H
#define BLUEBELLKEEL_PEER_PEERLINK_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <functional>
#include <optional>

namespace bluebellkeel {

/// Sends messages to other instances.
class peer_link {
public:
  /// Receives the answer; empty if the query timed out or the connection was
  /// closed.
  using callback = std::function<void(std::optional<peer_body>)>;

  virtual ~peer_link() = default;

  /// Sends \p Query to \p Peer and calls \p Done once, from a thread of the
  /// link.
  virtual void sendQuery(const instance_record &Peer, peer_body Query,
                         callback Done) = 0;

  /// Sends \p Message, which gets no answer and may be lost.
  virtual void sendOneWay(const instance_record &Peer, peer_body Message) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERLINK_H
