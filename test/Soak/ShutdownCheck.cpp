#include "ShutdownCheck.h"
#include <algorithm>

using namespace bluebellkeel;

static constexpr milliseconds Grace{8000};
/// Time until the gateway has read a request that was sent.
static constexpr milliseconds RequestReadTime{50};
/// Exit code that stands for a signal that ended the process.
static constexpr int EndedBySignal = -1;
/// Allowance for delivering the signal and noticing the exit.
static constexpr milliseconds Margin{500};

/// True if another fault affected the gateway between the stop request and its
/// exit.
static bool affectedByOtherFault(const gateway_exit &Exit,
                                 const soak_history &History) {
  return std::any_of(History.Faults.begin(), History.Faults.end(),
                     [&Exit](const soak_fault &Fault) {
                       return Fault.kind() != fault_kind::StopGateway &&
                              Fault.affectsGateway(Exit.gateway()) &&
                              Fault.start() <= Exit.ended() &&
                              Fault.end() >= Exit.stopRequestedAt();
                     });
}

/// True if a fault of the upstreams may have interrupted the answer.
static bool runnersAffected(const soak_attempt &Attempt,
                            const soak_history &History) {
  return std::any_of(History.Faults.begin(), History.Faults.end(),
                     [&Attempt](const soak_fault &Fault) {
                       bool AtRunner =
                           Fault.kind() == fault_kind::PauseRunner ||
                           Fault.kind() == fault_kind::KillRunner ||
                           Fault.kind() == fault_kind::RunnerLink;
                       return AtRunner && Fault.start() <= Attempt.ended() &&
                              Fault.end() + Grace >= Attempt.sent();
                     });
}

/// True if the gateway read and forwarded \p Attempt after the stop request and
/// closed its connection without an answer.
static bool cutLate(const soak_attempt &Attempt, const gateway_exit &Exit,
                    const soak_history &History) {
  return Attempt.gateway() == Exit.gateway() &&
         Attempt.sent() >= Exit.stopRequestedAt() &&
         Attempt.sent() < Exit.ended() &&
         Attempt.ended() <= Exit.ended() + Margin && Attempt.status() == 0 &&
         !Attempt.timedOut() && History.runsOf(Attempt.id()) > 0 &&
         !runnersAffected(Attempt, History);
}

static void checkExit(const gateway_exit &Exit, const soak_history &History,
                      std::vector<std::string> &Lines) {
  std::string GatewayName = "gateway " + std::to_string(Exit.gateway());
  bool StoppedWhileLoading = Exit.code() == EndedBySignal && !Exit.hadStarted();
  if (Exit.code() != 0 && !StoppedWhileLoading)
    Lines.push_back(GatewayName + " exited with code " +
                    std::to_string(Exit.code()));
  if (Exit.ended() - Exit.stopRequestedAt() > Grace + Margin)
    Lines.push_back(GatewayName + " took longer than the grace period to stop");
  for (const auto &Attempt : History.Attempts) {
    if (cutLate(Attempt, Exit, History))
      Lines.push_back(Attempt.id() + " ran and got no answer from " +
                      GatewayName + ", which was stopping");
    bool Accepted = Attempt.gateway() == Exit.gateway() &&
                    Attempt.sent() + RequestReadTime < Exit.stopRequestedAt() &&
                    Attempt.ended() > Exit.stopRequestedAt() &&
                    Attempt.ended() <= Exit.ended() + Margin;
    if (!Accepted || Attempt.complete() || Attempt.timedOut())
      continue;
    if (Attempt.status() == 0 || !runnersAffected(Attempt, History))
      Lines.push_back(Attempt.id() + " was cut off by " + GatewayName);
  }
}

std::vector<std::string>
shutdown_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (int Gateway : History.Crashed)
    Lines.push_back("gateway " + std::to_string(Gateway) +
                    " exited without a stop request");
  for (const auto &Exit : History.Exits) {
    if (!affectedByOtherFault(Exit, History))
      checkExit(Exit, History, Lines);
  }
  return Lines;
}
