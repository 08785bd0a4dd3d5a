#ifndef TEST_SOAK_SOAKHISTORY_H
#define TEST_SOAK_SOAKHISTORY_H

#include "GatewayExit.h"
#include "SoakAttempt.h"
#include "SoakFault.h"
#include <map>
#include <vector>

namespace bluebellkeel {

/// All that callers, upstreams and the operator saw of one run.
struct soak_history {
  std::vector<soak_attempt> Attempts;
  /// After the last fault, when all must be well again.
  std::vector<soak_attempt> AttemptsAfterFaults;
  /// How often upstreams began to run each request.
  std::map<std::string, int> Runs;
  std::vector<soak_fault> Faults;
  /// When each version of the configuration was confirmed.
  std::map<int, milliseconds> Versions;
  std::vector<gateway_exit> Exits;
  /// Gateways that ended without being told to.
  std::vector<int> Crashed;

  int runsOf(const std::string &Id) const {
    auto Found = Runs.find(Id);
    return Found == Runs.end() ? 0 : Found->second;
  }
  /// True when something was done to \p Gateway that may still be felt.
  bool mayBeAffected(int Gateway, milliseconds From, milliseconds To) const;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKHISTORY_H
