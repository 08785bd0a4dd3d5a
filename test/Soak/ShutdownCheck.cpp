#include "ShutdownCheck.h"
#include <algorithm>

using namespace bluebellkeel;

static constexpr milliseconds Grace{8000};
/// Until a request that was sent has been read.
static constexpr milliseconds RequestReadTime{50};
/// For the start of the signal and the wait for the end.
static constexpr milliseconds Margin{500};

/// True when more than the stop was done to the gateway meanwhile.
static bool affectedByOtherFault(const gateway_exit &End,
                                 const soak_history &History) {
  return std::any_of(History.Faults.begin(), History.Faults.end(),
                     [&End](const soak_fault &Fault) {
                       return Fault.kind() != fault_kind::StopGateway &&
                              Fault.affectsGateway(End.gateway()) &&
                              Fault.start() <= End.ended() &&
                              Fault.end() >= End.stopRequestedAt();
                     });
}

/// True when the upstreams may have broken off what they answered.
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

static void checkEnd(const gateway_exit &End, const soak_history &History,
                     std::vector<std::string> &Lines) {
  std::string Who = "gateway " + std::to_string(End.gateway());
  if (End.code() != 0)
    Lines.push_back(Who + " ended with " + std::to_string(End.code()));
  if (End.ended() - End.stopRequestedAt() > Grace + Margin)
    Lines.push_back(Who + " took longer than its grace to stop");
  for (const auto &Attempt : History.Attempts) {
    bool Accepted = Attempt.gateway() == End.gateway() &&
                    Attempt.sent() + RequestReadTime < End.stopRequestedAt() &&
                    Attempt.ended() > End.stopRequestedAt() &&
                    Attempt.ended() <= End.ended() + Margin;
    if (!Accepted || Attempt.whole() || Attempt.timedOut())
      continue;
    if (Attempt.status() == 0 || !runnersAffected(Attempt, History))
      Lines.push_back(Attempt.id() + " was cut off by " + Who);
  }
}

std::vector<std::string>
shutdown_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (int Gateway : History.Crashed)
    Lines.push_back("gateway " + std::to_string(Gateway) + " ended by itself");
  for (const auto &End : History.Exits) {
    if (!affectedByOtherFault(End, History))
      checkEnd(End, History, Lines);
  }
  return Lines;
}
