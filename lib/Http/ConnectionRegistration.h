#ifndef BLUEBELLKEEL_LIB_HTTP_CONNECTIONREGISTRATION_H
#define BLUEBELLKEEL_LIB_HTTP_CONNECTIONREGISTRATION_H

#include "ServerState.h"
#include "bluebellkeel/Core/MemoryReservation.h"

namespace bluebellkeel {

/// Counts a connection as open in the state of its server, and holds its
/// memory, for the lifetime of this object.
class connection_registration {
public:
  connection_registration(std::shared_ptr<server_state> State,
                          std::shared_ptr<interruptible_stream> Connection,
                          std::unique_ptr<memory_reservation> Memory)
      : State(std::move(State)), Connection(std::move(Connection)),
        Memory(std::move(Memory)) {
    this->State->add(this->Connection);
  }
  connection_registration(const connection_registration &) = delete;
  connection_registration &operator=(const connection_registration &) = delete;
  ~connection_registration() { State->remove(Connection); }

  const std::shared_ptr<interruptible_stream> &connection() const {
    return Connection;
  }

private:
  std::shared_ptr<server_state> State;
  std::shared_ptr<interruptible_stream> Connection;
  std::unique_ptr<memory_reservation> Memory;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_CONNECTIONREGISTRATION_H
