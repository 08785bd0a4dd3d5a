#ifndef BLUEBELLKEEL_LIB_HTTP_CONNECTIONSTATE_H
#define BLUEBELLKEEL_LIB_HTTP_CONNECTIONSTATE_H

#include "ConnectionPhase.h"
#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <tuple>

namespace bluebellkeel {

/// What is known of a connection at one moment.
class connection_state : public comparable<connection_state> {
public:
  connection_state(connection_phase Phase, monotonic_time Since)
      : Phase(Phase), Since(Since), LastProgress(Since) {}

  connection_state withProgressAt(monotonic_time Time) const {
    connection_state Changed = *this;
    Changed.LastProgress = Time;
    return Changed;
  }
  connection_state withHeld(std::size_t Bytes) const {
    connection_state Changed = *this;
    Changed.HeldBytes = Bytes;
    return Changed;
  }
  connection_state givingWay() const {
    connection_state Changed = *this;
    Changed.GivesWay = true;
    return Changed;
  }

  connection_phase phase() const { return Phase; }
  /// When the phase began.
  monotonic_time since() const { return Since; }
  /// When the phase began or bytes were last transferred in it.
  monotonic_time lastProgress() const { return LastProgress; }
  /// Memory that is released when the phase ends, in bytes.
  std::size_t heldBytes() const { return HeldBytes; }
  /// True if the connection was asked to end this phase.
  bool givesWay() const { return GivesWay; }
  auto key() const {
    return std::tie(Phase, Since, LastProgress, HeldBytes, GivesWay);
  }

private:
  connection_phase Phase;
  monotonic_time Since;
  monotonic_time LastProgress;
  std::size_t HeldBytes = 0;
  bool GivesWay = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_CONNECTIONSTATE_H
