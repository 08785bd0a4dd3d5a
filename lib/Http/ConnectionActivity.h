#ifndef BLUEBELLKEEL_LIB_HTTP_CONNECTIONACTIVITY_H
#define BLUEBELLKEEL_LIB_HTTP_CONNECTIONACTIVITY_H

#include "ConnectionState.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace bluebellkeel {

/// Follows what a connection does, for other threads to read.
class connection_activity {
public:
  /// Begins a phase in which \p HeldBytes are held.
  void enter(connection_phase Phase, std::size_t HeldBytes = 0) {
    absl::MutexLock Lock(&Mutex);
    State = connection_state(Phase, std::chrono::steady_clock::now())
                .withHeld(HeldBytes);
  }
  /// Begins to refuse the request that was given up; its memory is still held.
  void refuseGivenUp() {
    absl::MutexLock Lock(&Mutex);
    State = connection_state(connection_phase::Sending,
                             std::chrono::steady_clock::now())
                .withHeld(State.heldBytes())
                .givingWay();
  }
  /// Notes that bytes were transferred.
  void noteProgress() {
    absl::MutexLock Lock(&Mutex);
    State = State.withProgressAt(std::chrono::steady_clock::now());
  }
  /// Declares what the current phase holds.
  void setHeld(std::size_t Bytes) {
    absl::MutexLock Lock(&Mutex);
    State = State.withHeld(Bytes);
  }
  /// Notes that the connection was asked to end its current phase.
  void giveWay() {
    absl::MutexLock Lock(&Mutex);
    State = State.givingWay();
  }

  connection_state state() const {
    absl::MutexLock Lock(&Mutex);
    return State;
  }

private:
  mutable absl::Mutex Mutex;
  connection_state State ABSL_GUARDED_BY(Mutex){
      connection_phase::Idle, std::chrono::steady_clock::now()};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_CONNECTIONACTIVITY_H
