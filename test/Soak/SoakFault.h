#ifndef TEST_SOAK_SOAKFAULT_H
#define TEST_SOAK_SOAKFAULT_H

#include "FaultKind.h"
#include "LinkMode.h"
#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One injected fault: its start, duration, kind and target.
class soak_fault : public comparable<soak_fault> {
public:
  soak_fault(milliseconds Start, milliseconds Length, fault_kind Kind,
             int Target, link_mode Mode)
      : Start(Start), Length(Length), Kind(Kind), Target(Target), Mode(Mode) {}

  /// Time since the start of the run.
  milliseconds start() const { return Start; }
  milliseconds length() const { return Length; }
  milliseconds end() const { return Start + Length; }
  fault_kind kind() const { return Kind; }
  /// Index of the gateway or runner; a store link has the index of its gateway.
  int target() const { return Target; }
  /// Mode of a link fault; unused by other kinds.
  link_mode mode() const { return Mode; }
  /// Returns the fault with the times at which it actually began and ended.
  soak_fault beganAt(milliseconds Time) const {
    return soak_fault(Time, Length, Kind, Target, Mode);
  }
  soak_fault endedAt(milliseconds Time) const {
    return soak_fault(Start, Time - Start, Kind, Target, Mode);
  }
  /// True if the fault affects \p Gateway, its link to the store, or the store.
  bool affectsGateway(int Gateway) const;
  std::string text() const;
  auto key() const { return std::tie(Start, Length, Kind, Target, Mode); }

private:
  milliseconds Start;
  milliseconds Length;
  fault_kind Kind;
  int Target;
  link_mode Mode;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKFAULT_H
