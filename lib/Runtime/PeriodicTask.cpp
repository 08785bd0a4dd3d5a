#include "PeriodicTask.h"

using namespace bluebellkeel;

void periodic_task::start() {
  Thread = std::thread([this] { run(); });
}

void periodic_task::stop() {
  {
    absl::MutexLock Lock(&Mutex);
    Stopped = true;
  }
  if (Thread.joinable())
    Thread.join();
}

void periodic_task::wake() {
  absl::MutexLock Lock(&Mutex);
  Woken = true;
}

void periodic_task::run() {
  while (true) {
    Action();
    absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(&Stopped),
                           absl::FromChrono(MinInterval));
    Mutex.AwaitWithTimeout(
        absl::Condition(this, &periodic_task::wokenOrStopped),
        absl::FromChrono(Interval));
    Woken = false;
    if (Stopped)
      return;
  }
}
