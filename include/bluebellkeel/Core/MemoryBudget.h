#ifndef BLUEBELLKEEL_CORE_MEMORYBUDGET_H
#define BLUEBELLKEEL_CORE_MEMORYBUDGET_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/MemoryUse.h"
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>

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
  /// Returns how much must be released before take() succeeds; 0 if it would
  /// succeed now.
  std::size_t missing(memory_use Use, std::size_t Bytes) const;
  void release(std::size_t Bytes);

  /// Declares that \p Bytes of the limit are used by memory that nobody has
  /// taken; at most half of the limit counts.
  void setUncounted(std::size_t Bytes);

  std::size_t held() const;
  std::size_t limit() const { return Limit; }
  /// True if so much is held that new requests may soon be refused. What can be
  /// given up without loss should be given up.
  bool scarce() const;

  /// How often each use was refused so far.
  std::uint64_t refusals(memory_use Use) const;

private:
  std::size_t availableFor(memory_use Use) const;
  std::size_t missingLocked(memory_use Use, std::size_t Bytes) const
      ABSL_SHARED_LOCKS_REQUIRED(Mutex);

  const std::size_t Limit;
  mutable absl::Mutex Mutex;
  std::size_t Held ABSL_GUARDED_BY(Mutex) = 0;
  std::size_t Uncounted ABSL_GUARDED_BY(Mutex) = 0;
  std::map<memory_use, std::uint64_t> Refusals ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_MEMORYBUDGET_H
