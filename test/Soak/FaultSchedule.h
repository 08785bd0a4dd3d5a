#ifndef TEST_SOAK_FAULTSCHEDULE_H
#define TEST_SOAK_FAULTSCHEDULE_H

#include "SoakFault.h"
#include <cstdint>
#include <vector>

namespace bluebellkeel {

/// The faults of one run, drawn from its seed: in series and overlapping.
class fault_schedule {
public:
  fault_schedule(std::uint64_t Seed, milliseconds Length, int Gateways,
                 int Runners);

  /// By their start.
  const std::vector<soak_fault> &faults() const { return Faults; }

private:
  std::vector<soak_fault> Faults;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_FAULTSCHEDULE_H
