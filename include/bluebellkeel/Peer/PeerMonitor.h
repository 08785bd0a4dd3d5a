#ifndef BLUEBELLKEEL_PEER_PEERMONITOR_H
#define BLUEBELLKEEL_PEER_PEERMONITOR_H

#include "bluebellkeel/Peer/PeerError.h"
#include <cstddef>
#include <string>

namespace bluebellkeel {

/// Counts the messages between instances.
class peer_monitor {
public:
  virtual ~peer_monitor() = default;

  virtual void countPeerMessage(const std::string &Kind, bool Sent,
                                std::size_t Bytes) = 0;
  virtual void countPeerFault(peer_error Error) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_PEERMONITOR_H
