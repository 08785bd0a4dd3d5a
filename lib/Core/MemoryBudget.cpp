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
  constexpr std::size_t RequestReserveDivisor = 8;
  constexpr std::size_t ConnectionReserveDivisor = 16;
  constexpr std::size_t ProgressReserveDivisor = 32;
  switch (Use) {
  case memory_use::Buffer:
  case memory_use::Request:
    return Limit - Limit / RequestReserveDivisor;
  case memory_use::Connection:
    return Limit - Limit / ConnectionReserveDivisor;
  case memory_use::Progress:
    return Limit - Limit / ProgressReserveDivisor;
  case memory_use::Urgent:
    return Limit;
  }
  return 0;
}

bool memory_budget::take(memory_use Use, std::size_t Bytes) {
  std::size_t Available = availableFor(Use);
  absl::MutexLock Lock(&Mutex);
  if (Bytes > Available || Held > Available - Bytes) {
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

bool memory_budget::scarce() const {
  return held() > Limit - Limit / ScarceDivisor;
}

std::uint64_t memory_budget::addHolder(std::shared_ptr<memory_holder> Holder,
                                       monotonic_time Since) {
  absl::MutexLock Lock(&Mutex);
  Holders[++LastHolder] = {std::move(Holder), Since};
  return LastHolder;
}

void memory_budget::setHeld(std::uint64_t Holder, std::size_t Bytes) {
  absl::MutexLock Lock(&Mutex);
  auto Found = Holders.find(Holder);
  if (Found == Holders.end())
    return;
  if (Found->second.GivesUp)
    GivenUp += Bytes - Found->second.Bytes;
  Found->second.Bytes = Bytes;
}

void memory_budget::removeHolder(std::uint64_t Holder) {
  absl::MutexLock Lock(&Mutex);
  auto Found = Holders.find(Holder);
  if (Found == Holders.end())
    return;
  if (Found->second.GivesUp)
    GivenUp -= Found->second.Bytes;
  Holders.erase(Found);
}

std::size_t memory_budget::reclaim(std::size_t Bytes, monotonic_time Before) {
  absl::MutexLock Lock(&Mutex);
  for (auto &[Number, Holder] : Holders) {
    if (GivenUp >= Bytes || Holder.Since > Before)
      break;
    if (Holder.GivesUp)
      continue;
    Holder.GivesUp = true;
    GivenUp += Holder.Bytes;
    Holder.Holder->giveUp();
  }
  return GivenUp;
}

std::uint64_t memory_budget::refusals(memory_use Use) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Refusals.find(Use);
  return Found == Refusals.end() ? 0 : Found->second;
}
