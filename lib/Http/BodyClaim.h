#ifndef BLUEBELLKEEL_LIB_HTTP_BODYCLAIM_H
#define BLUEBELLKEEL_LIB_HTTP_BODYCLAIM_H

#include "ServerState.h"

namespace bluebellkeel {

/// The part of a server's memory for bodies that one request takes, for as long
/// as this lives.
class body_claim {
public:
  body_claim(server_state &State, std::size_t Most)
      : State(State), Most(Most) {}
  body_claim(const body_claim &) = delete;
  body_claim &operator=(const body_claim &) = delete;
  ~body_claim() { State.HeldBytes -= Bytes; }

  /// False when there is no room for \p Needed bytes in all.
  bool growTo(std::size_t Needed) {
    if (Needed <= Bytes)
      return true;
    std::size_t More = Needed - Bytes;
    if (State.HeldBytes.fetch_add(More) + More > Most) {
      State.HeldBytes -= More;
      return false;
    }
    Bytes = Needed;
    return true;
  }

private:
  server_state &State;
  std::size_t Most;
  std::size_t Bytes = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_BODYCLAIM_H
