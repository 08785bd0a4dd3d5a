#include "bluebellkeel/Gateway/MemoryMonitor.h"
#include <algorithm>
#include <array>

using namespace bluebellkeel;

/// Parts of the limit, in percent, that are reported; in ascending order.
static constexpr std::array<std::size_t, 7> Levels = {25, 50, 60, 70,
                                                      80, 90, 95};

static std::size_t percentOf(std::size_t Bytes, std::size_t Limit) {
  constexpr std::size_t Whole = 100;
  return Limit > 0 ? Bytes * Whole / Limit : 0;
}

void memory_monitor::update() {
  constexpr double Unknown = -1;
  auto Bytes = Resident.bytes();
  if (Bytes) {
    Bytes = returnFreed(*Bytes);
    Budget.setUncounted(beyondAllowance(*Bytes));
  }
  Metrics.setResidentBytes(Bytes ? static_cast<double>(*Bytes) : Unknown);
  Metrics.setCallerConnections(static_cast<double>(Callers.connections()));
  Metrics.setActiveRequests(static_cast<double>(Callers.active()));
  Metrics.setHeldBytes(static_cast<double>(Budget.held()));
  Metrics.setHeldBytesLimit(static_cast<double>(Budget.limit()));
  if (Bytes)
    logRise(*Bytes);
  logRefusals();
}

/// Returns what is resident beyond what callers hold and what the process may
/// use for all else.
std::size_t memory_monitor::beyondAllowance(std::size_t Bytes) const {
  std::size_t Allowance = Limit - std::min(Limit, Budget.limit());
  return Bytes - std::min(Bytes, Budget.held() + Allowance);
}

/// Returns the resident memory after the heap has returned what it can, if that
/// is worth its time: the memory is nearly used up, and has grown since.
std::size_t memory_monitor::returnFreed(std::size_t Bytes) {
  constexpr std::size_t MarginDivisor = 8;
  constexpr std::size_t GrowthDivisor = 32;
  AfterReturn = std::min(AfterReturn, Bytes);
  if (beyondAllowance(Bytes + Limit / MarginDivisor) == 0 ||
      Bytes < AfterReturn + Limit / GrowthDivisor)
    return Bytes;
  Heap.returnFreed();
  AfterReturn = Resident.bytes().value_or(Bytes);
  return AfterReturn;
}

event_line &memory_monitor::addUse(event_line &Line) const {
  return Line.add("held_bytes", static_cast<std::int64_t>(Budget.held()))
      .add("active", static_cast<std::int64_t>(Callers.active()))
      .add("open_connections",
           static_cast<std::int64_t>(Callers.connections()));
}

void memory_monitor::logRefusals() {
  std::uint64_t Total = 0;
  event_line Line("gateway", "memory_full");
  for (auto [Use, Name] :
       {std::pair(memory_use::Request, "refused_requests"),
        std::pair(memory_use::Connection, "closed_connections"),
        std::pair(memory_use::LongEvent, "cut_streams"),
        std::pair(memory_use::Buffer, "unbuffered_pieces")}) {
    std::uint64_t Count = Budget.refusals(Use);
    Line.add(Name, static_cast<std::int64_t>(Count));
    Total += Count;
  }
  if (Total == LoggedRefusals)
    return;
  LoggedRefusals = Total;
  Log.write(addUse(Line));
}

/// Writes one line for all levels that have been passed since the last update.
void memory_monitor::logRise(std::size_t Bytes) {
  std::size_t Before = LoggedLevels;
  std::size_t Percent = percentOf(Bytes, Limit);
  while (LoggedLevels < Levels.size() && Percent >= Levels.at(LoggedLevels))
    ++LoggedLevels;
  if (LoggedLevels == Before)
    return;
  event_line Line("gateway", "memory");
  Line.add("percent", static_cast<std::int64_t>(Percent))
      .add("resident_bytes", static_cast<std::int64_t>(Bytes));
  Log.write(addUse(Line));
}
