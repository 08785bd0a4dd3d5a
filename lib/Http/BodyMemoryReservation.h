#ifndef BLUEBELLKEEL_LIB_HTTP_BODYMEMORYRESERVATION_H
#define BLUEBELLKEEL_LIB_HTTP_BODYMEMORYRESERVATION_H

#include "ServerState.h"

namespace bluebellkeel {

/// Reserves part of a server's memory for bodies for one request; the
/// destructor releases it.
class body_memory_reservation {
public:
  body_memory_reservation(server_state &State, std::size_t MaxBytes)
      : State(State), MaxBytes(MaxBytes) {}
  body_memory_reservation(const body_memory_reservation &) = delete;
  body_memory_reservation &operator=(const body_memory_reservation &) = delete;
  ~body_memory_reservation() { State.BufferedBytes -= Bytes; }

  /// Grows the reservation to \p Needed bytes in total. Returns false if that
  /// would exceed the server's limit.
  bool growTo(std::size_t Needed) {
    if (Needed <= Bytes)
      return true;
    std::size_t More = Needed - Bytes;
    if (State.BufferedBytes.fetch_add(More) + More > MaxBytes) {
      State.BufferedBytes -= More;
      return false;
    }
    Bytes = Needed;
    return true;
  }

private:
  server_state &State;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_BODYMEMORYRESERVATION_H
