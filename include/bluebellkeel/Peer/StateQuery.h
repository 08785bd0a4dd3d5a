#ifndef BLUEBELLKEEL_PEER_STATEQUERY_H
#define BLUEBELLKEEL_PEER_STATEQUERY_H

#include "bluebellkeel/Core/Comparable.h"

namespace bluebellkeel {

/// Asks a peer for the settings in force. Used by an instance that starts while
/// the log is unavailable.
class state_query : public comparable<state_query> {
public:
  int key() const { return 0; }
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_STATEQUERY_H
