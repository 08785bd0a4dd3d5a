#include "SoakHistory.h"
#include <algorithm>

using namespace bluebellkeel;

/// How long a fault is felt after its end: a silent read of the store is given
/// up after three seconds, and the next one has to come through.
static constexpr milliseconds FaultEffectTime{5000};

bool soak_history::mayBeAffected(int Gateway, milliseconds From,
                                 milliseconds To) const {
  return std::any_of(
      Faults.begin(), Faults.end(), [&](const soak_fault &Fault) {
        // A stop lasts longer than its fault by the grace.
        return Fault.affectsGateway(Gateway) && Fault.start() <= To &&
               Fault.end() + FaultEffectTime >= From;
      });
}
