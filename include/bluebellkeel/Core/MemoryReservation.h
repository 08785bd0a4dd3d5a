#ifndef BLUEBELLKEEL_CORE_MEMORYRESERVATION_H
#define BLUEBELLKEEL_CORE_MEMORYRESERVATION_H

#include "bluebellkeel/Core/MemoryBudget.h"

namespace bluebellkeel {

/// Part of a memory budget that one connection, request or response holds; the
/// destructor releases it. Not thread-safe.
class memory_reservation {
public:
  memory_reservation(memory_budget &Budget, memory_use Use)
      : Budget(Budget), Use(Use) {}
  memory_reservation(const memory_reservation &) = delete;
  memory_reservation &operator=(const memory_reservation &) = delete;
  ~memory_reservation() { Budget.release(Bytes); }

  std::size_t bytes() const { return Bytes; }
  /// True if so much of the budget is held that others should give way.
  bool scarce() const { return Budget.scarce(); }
  /// Returns how much others would have to release for growTo() to succeed.
  std::size_t missingFor(std::size_t Needed) const {
    return Needed <= Bytes ? 0 : Budget.missing(Use, Needed - Bytes);
  }
  /// Grows the reservation to \p Needed bytes in total. Returns false, and
  /// keeps what it holds, if that much is not available.
  bool growTo(std::size_t Needed) {
    if (Needed <= Bytes)
      return true;
    if (!Budget.take(Use, Needed - Bytes))
      return false;
    Bytes = Needed;
    return true;
  }
  /// Releases what is beyond \p Needed bytes.
  void shrinkTo(std::size_t Needed) {
    if (Needed >= Bytes)
      return;
    Budget.release(Bytes - Needed);
    Bytes = Needed;
  }

private:
  memory_budget &Budget;
  const memory_use Use;
  std::size_t Bytes = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_MEMORYRESERVATION_H
