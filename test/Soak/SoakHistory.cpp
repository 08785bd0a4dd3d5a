#include "SoakHistory.h"
#include <algorithm>

using namespace bluebellkeel;

/// Time for which a fault may have effects after its end: a read of the store
/// without a response times out after three seconds, and the next read has to
/// succeed.
static constexpr milliseconds FaultEffectTime{5000};

bool soak_history::mayBeAffected(int Gateway, milliseconds From,
                                 milliseconds To) const {
  return std::any_of(
      Faults.begin(), Faults.end(), [&](const soak_fault &Fault) {
        // A stop lasts longer than its fault by the grace period.
        return Fault.affectsGateway(Gateway) && Fault.start() <= To &&
               Fault.end() + FaultEffectTime >= From;
      });
}
