#ifndef BLUEBELLKEEL_PEER_PEERRESPONDER_H
#define BLUEBELLKEEL_PEER_PEERRESPONDER_H

#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include <optional>

namespace bluebellkeel {

/// Answers the messages of peers.
class peer_responder {
public:
  virtual ~peer_responder() = default;

  /// Returns the answer to \p Body, or std::nullopt if the message needs none.
  /// Must not block.
  virtual std::optional<peer_body> answer(const instance_id &From,
                                          const peer_body &Body) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERRESPONDER_H
