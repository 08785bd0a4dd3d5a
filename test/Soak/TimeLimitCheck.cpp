#include "TimeLimitCheck.h"
#include <algorithm>

using namespace bluebellkeel;

/// `timeout_ms` of the routes in the configuration.
static constexpr milliseconds TimeLimit{8000};
/// Allowance for transmission and scheduling on a busy machine.
static constexpr milliseconds Margin{1000};

/// True if the gateway was paused or killed during the attempt.
static bool gatewayUnavailable(const soak_attempt &Attempt,
                               const soak_history &History) {
  return std::any_of(History.Faults.begin(), History.Faults.end(),
                     [&Attempt](const soak_fault &Fault) {
                       return (Fault.kind() == fault_kind::PauseGateway ||
                               Fault.kind() == fault_kind::KillGateway) &&
                              Fault.affectsGateway(Attempt.gateway()) &&
                              Fault.start() <= Attempt.ended() &&
                              Fault.end() >= Attempt.sent();
                     });
}

std::vector<std::string>
time_limit_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &Attempt : History.Attempts) {
    milliseconds Elapsed = Attempt.ended() - Attempt.sent();
    if (Elapsed > TimeLimit + Margin && !gatewayUnavailable(Attempt, History))
      Lines.push_back(Attempt.id() + " took " +
                      std::to_string(Elapsed.count()) + " ms at gateway " +
                      std::to_string(Attempt.gateway()));
  }
  return Lines;
}
