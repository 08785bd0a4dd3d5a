#ifndef TEST_SOAK_SOAKHISTORY_H
#define TEST_SOAK_SOAKHISTORY_H

#include "GatewayExit.h"
#include "RunnerArrival.h"
#include "SoakAttempt.h"
#include "SoakFault.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// Observations of callers, upstreams and the operator during one run.
struct soak_history {
  std::vector<soak_attempt> Attempts;
  /// Sent after the end of all faults, when every request must succeed.
  std::vector<soak_attempt> AttemptsAfterFaults;
  /// Number of times that upstreams started to run each request.
  std::map<std::string, int> Runs;
  std::vector<runner_arrival> Arrivals;
  std::vector<soak_fault> Faults;
  /// Time since the start of the run at which the store confirmed each version
  /// of the configuration.
  std::map<int, milliseconds> Versions;
  std::vector<gateway_exit> Exits;
  /// Gateways that exited without a stop request.
  std::vector<int> Crashed;

  int runsOf(const std::string &Id) const {
    auto Found = Runs.find(Id);
    return Found == Runs.end() ? 0 : Found->second;
  }
  /// True if a fault may have affected \p Gateway between \p From and \p To.
  bool mayBeAffected(int Gateway, milliseconds From, milliseconds To) const;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKHISTORY_H
