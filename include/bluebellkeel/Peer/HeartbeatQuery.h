#ifndef BLUEBELLKEEL_PEER_HEARTBEATQUERY_H
#define BLUEBELLKEEL_PEER_HEARTBEATQUERY_H

#include "bluebellkeel/Core/Comparable.h"

namespace bluebellkeel {

/// Asks a peer for its heartbeat.
class heartbeat_query : public comparable<heartbeat_query> {
public:
  int key() const { return 0; }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_HEARTBEATQUERY_H
