#ifndef BLUEBELLKEEL_GATEWAY_MEMORYMONITOR_H
#define BLUEBELLKEEL_GATEWAY_MEMORYMONITOR_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/MemoryBudget.h"
#include "bluebellkeel/Gateway/ProcessHeap.h"
#include "bluebellkeel/Gateway/ResidentMemory.h"
#include "bluebellkeel/Http/StoppableServer.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include <cstddef>

namespace bluebellkeel {

/// Compares the resident memory of the process with what its callers hold, and
/// reports both. Not thread-safe.
class memory_monitor {
public:
  /// \param Limit memory available to the process, in bytes.
  memory_monitor(std::size_t Limit, const resident_memory &Resident,
                 process_heap &Heap, memory_budget &Budget,
                 const stoppable_server &Callers, metrics &Metrics,
                 event_log &Log)
      : Limit(Limit), Resident(Resident), Heap(Heap), Budget(Budget),
        Callers(Callers), Metrics(Metrics), Log(Log) {}

  /// Sets the gauges. Makes the heap return freed memory when much more is
  /// resident than is held, and takes from the budget what does not return.
  /// Writes a line when the resident memory is beyond a further part of the
  /// limit for the first time, and when something was refused since the last
  /// update.
  void update();

private:
  std::size_t beyondAllowance(std::size_t Bytes) const;
  std::size_t returnFreed(std::size_t Bytes);
  void logRise(std::size_t Bytes);
  void logRefusals();
  event_line &addUse(event_line &Line) const;

  const std::size_t Limit;
  const resident_memory &Resident;
  process_heap &Heap;
  memory_budget &Budget;
  const stoppable_server &Callers;
  metrics &Metrics;
  event_log &Log;
  /// The resident memory after freed memory was last returned, in bytes.
  std::size_t AfterReturn = 0;
  std::size_t LoggedLevels = 0;
  std::uint64_t LoggedRefusals = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_GATEWAY_MEMORYMONITOR_H
