#ifndef BLUEBELLKEEL_LIB_RUNTIME_TASKWAKER_H
#define BLUEBELLKEEL_LIB_RUNTIME_TASKWAKER_H

#include "PeriodicTask.h"
#include "bluebellkeel/Frontend/GrantWaker.h"

namespace bluebellkeel {

/// Wakes the task that requests grants.
class task_waker final : public grant_waker {
public:
  explicit task_waker(periodic_task &Task) : Task(Task) {}

  void wakeGrantTask() override { Task.wake(); }

private:
  periodic_task &Task;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_TASKWAKER_H
