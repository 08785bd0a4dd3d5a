#include "RecoveryCheck.h"

using namespace bluebellkeel;

std::vector<std::string>
recovery_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &Attempt : History.AttemptsAfterFaults) {
    if (!Attempt.good())
      Lines.push_back(Attempt.id() + " got " +
                      std::to_string(Attempt.status()) + " from gateway " +
                      std::to_string(Attempt.gateway()) +
                      " after the end of all faults");
  }
  return Lines;
}
