#ifndef BLUEBELLKEEL_LIB_RUNTIME_CAPACITYNOTIFIER_H
#define BLUEBELLKEEL_LIB_RUNTIME_CAPACITYNOTIFIER_H

#include "bluebellkeel/Upstream/AdmissionQueue.h"
#include "bluebellkeel/Upstream/CapacityListener.h"

namespace bluebellkeel {

/// Retries waiting requests when upstream capacity may have become free.
class capacity_notifier final : public capacity_listener {
public:
  explicit capacity_notifier(admission_queue &Queue) : Queue(Queue) {}

  void onCapacityChanged() override { Queue.serveAllWaiting(); }

private:
  admission_queue &Queue;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_CAPACITYNOTIFIER_H
