#ifndef TEST_SOAK_SOAKFAULT_H
#define TEST_SOAK_SOAKFAULT_H

#include "FaultKind.h"
#include "LinkMode.h"
#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One fault: from when on, how long, to whom.
class soak_fault : public comparable<soak_fault> {
public:
  soak_fault(milliseconds Start, milliseconds Length, fault_kind Kind,
             int Target, link_mode Mode)
      : Start(Start), Length(Length), Kind(Kind), Target(Target), Mode(Mode) {}

  /// From the start of the run.
  milliseconds start() const { return Start; }
  milliseconds length() const { return Length; }
  milliseconds end() const { return Start + Length; }
  fault_kind kind() const { return Kind; }
  /// Number of the gateway or the runner; a store link goes with its gateway.
  int target() const { return Target; }
  /// For links only.
  link_mode mode() const { return Mode; }
  /// True when the fault is done to a gateway or its link to the store.
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
