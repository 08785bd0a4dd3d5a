#include "bluebellkeel/Core/MemoryBudget.h"
#include <algorithm>

using namespace bluebellkeel;

/// Part of the limit that is left when memory counts as scarce.
static constexpr std::size_t ScarceDivisor = 4;

std::size_t memory_budget::shareOf(std::size_t ProcessBytes) {
  /// Code, settings, upstreams, peers' data, the log and a page of the store.
  constexpr std::size_t OwnBytes = 24UL * 1024 * 1024;
  /// Left free, since freed memory is not always used again.
  constexpr std::size_t FreeDivisor = 10;
  constexpr std::size_t SmallestShareDivisor = 4;
  std::size_t Smallest = ProcessBytes / SmallestShareDivisor;
  std::size_t Rest = ProcessBytes - std::min(ProcessBytes, OwnBytes);
  return std::max(Smallest, Rest - Rest / FreeDivisor);
}

/// Each use leaves a part of the limit to those that are more important.
std::size_t memory_budget::availableFor(memory_use Use) const {
  constexpr std::size_t ResponseReserveDivisor = 6;
  constexpr std::size_t RequestReserveDivisor = 8;
  constexpr std::size_t ConnectionReserveDivisor = 16;
  switch (Use) {
  case memory_use::LongEvent:
  case memory_use::Buffer:
    return Limit - Limit / ResponseReserveDivisor;
  case memory_use::Request:
    return Limit - Limit / RequestReserveDivisor;
  case memory_use::Connection:
    return Limit - Limit / ConnectionReserveDivisor;
  case memory_use::Urgent:
    return Limit;
  }
  return 0;
}

std::size_t memory_budget::missingLocked(memory_use Use,
                                         std::size_t Bytes) const {
  std::size_t Available = availableFor(Use);
  std::size_t Used = Held + Uncounted;
  std::size_t Free = Available - std::min(Available, Used);
  if (Bytes <= Free)
    return 0;
  std::size_t Missing = Bytes - Free;
  std::size_t Excess = Used - std::min(Available, Used);
  return Missing +
         std::min(Excess, std::numeric_limits<std::size_t>::max() - Missing);
}

std::size_t memory_budget::missing(memory_use Use, std::size_t Bytes) const {
  absl::MutexLock Lock(&Mutex);
  return missingLocked(Use, Bytes);
}

bool memory_budget::take(memory_use Use, std::size_t Bytes) {
  absl::MutexLock Lock(&Mutex);
  if (missingLocked(Use, Bytes) > 0) {
    ++Refusals[Use];
    return false;
  }
  Held += Bytes;
  return true;
}

void memory_budget::release(std::size_t Bytes) {
  absl::MutexLock Lock(&Mutex);
  Held -= Bytes;
}

std::size_t memory_budget::held() const {
  absl::MutexLock Lock(&Mutex);
  return Held;
}

void memory_budget::setUncounted(std::size_t Bytes) {
  // Some requests are always taken: to refuse them all would free nothing.
  constexpr std::size_t MaxDivisor = 2;
  absl::MutexLock Lock(&Mutex);
  Uncounted = std::min(Bytes, Limit / MaxDivisor);
}

bool memory_budget::scarce() const {
  absl::MutexLock Lock(&Mutex);
  return Held + Uncounted > Limit - Limit / ScarceDivisor;
}

std::uint64_t memory_budget::refusals(memory_use Use) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Refusals.find(Use);
  return Found == Refusals.end() ? 0 : Found->second;
}
