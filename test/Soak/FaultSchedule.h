#ifndef TEST_SOAK_FAULTSCHEDULE_H
#define TEST_SOAK_FAULTSCHEDULE_H

#include "SoakFault.h"
#include <cstdint>
#include <vector>

namespace bluebellkeel {

/// The faults of one run, generated from its seed. Faults may overlap.
class fault_schedule {
public:
  fault_schedule(std::uint64_t Seed, milliseconds Length, int Gateways,
                 int Runners);

  /// Returns the faults sorted by start time.
  const std::vector<soak_fault> &faults() const { return Faults; }

private:
  std::vector<soak_fault> Faults;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_FAULTSCHEDULE_H
