#ifndef BLUEBELLKEEL_LIB_RUNTIME_ROOMSIGNAL_H
#define BLUEBELLKEEL_LIB_RUNTIME_ROOMSIGNAL_H

#include "bluebellkeel/Upstream/AdmissionQueue.h"
#include "bluebellkeel/Upstream/RoomListener.h"

namespace bluebellkeel {

/// Lets waiting requests try again when room may have come free.
class room_signal final : public room_listener {
public:
  explicit room_signal(admission_queue &Queue) : Queue(Queue) {}

  void roomMayBeFree() override { Queue.pumpAll(); }

private:
  admission_queue &Queue;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_ROOMSIGNAL_H
