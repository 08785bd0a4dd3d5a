#ifndef BLUEBELLKEEL_CORE_MEMORYBUDGET_H
#define BLUEBELLKEEL_CORE_MEMORYBUDGET_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/MemoryHolder.h"
#include "bluebellkeel/Core/MemoryUse.h"
#include "bluebellkeel/Core/Time.h"
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>

namespace bluebellkeel {

/// Limits the memory that all connections and requests of a process hold
/// together.
class memory_budget {
public:
  explicit memory_budget(
      std::size_t Limit = std::numeric_limits<std::size_t>::max())
      : Limit(Limit) {}

  /// Returns what connections and requests may hold of \p ProcessBytes, the
  /// memory of a whole process.
  static std::size_t shareOf(std::size_t ProcessBytes);

  /// Takes \p Bytes unless that would exceed what is available for \p Use;
  /// counts a refusal otherwise.
  bool take(memory_use Use, std::size_t Bytes);
  void release(std::size_t Bytes);

  std::size_t held() const;
  std::size_t limit() const { return Limit; }
  /// True if so much is held that new requests may soon be refused. What can be
  /// given up without loss should be given up.
  bool scarce() const;

  /// Adds a holder that gives up what it holds when memory is short, and that
  /// has held memory since \p Since. Returns the number that names it.
  std::uint64_t addHolder(std::shared_ptr<memory_holder> Holder,
                          monotonic_time Since);
  /// Declares how much the holder holds.
  void setHeld(std::uint64_t Holder, std::size_t Bytes);
  void removeHolder(std::uint64_t Holder);
  /// Makes holders from before \p Before give up \p Bytes in total, the oldest
  /// first. Returns how much is being given up and is not released yet; 0 if
  /// there are no such holders.
  std::size_t reclaim(std::size_t Bytes, monotonic_time Before);

  /// How often each use was refused so far.
  std::uint64_t refusals(memory_use Use) const;

private:
  struct holder {
    std::shared_ptr<memory_holder> Holder;
    monotonic_time Since;
    std::size_t Bytes = 0;
    bool GivesUp = false;
  };

  std::size_t availableFor(memory_use Use) const;

  const std::size_t Limit;
  mutable absl::Mutex Mutex;
  std::size_t Held ABSL_GUARDED_BY(Mutex) = 0;
  std::map<memory_use, std::uint64_t> Refusals ABSL_GUARDED_BY(Mutex);
  std::uint64_t LastHolder ABSL_GUARDED_BY(Mutex) = 0;
  /// In the order of their age.
  std::map<std::uint64_t, holder> Holders ABSL_GUARDED_BY(Mutex);
  /// What holders give up and have not released yet.
  std::size_t GivenUp ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_MEMORYBUDGET_H
