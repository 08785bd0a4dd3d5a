#include "RefusalCheck.h"
#include <set>

using namespace bluebellkeel;

/// True if \p Status states that the request did not run.
static bool saysNotRun(int Status) {
  static const std::set<int> Statuses = {408, 413, 421, 425, 429, 431, 503};
  return Statuses.count(Status) > 0;
}

std::vector<std::string>
refusal_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &Attempt : History.Attempts) {
    if (saysNotRun(Attempt.status()) && History.runsOf(Attempt.id()) > 0)
      Lines.push_back(Attempt.id() + " was refused with " +
                      std::to_string(Attempt.status()) + " and ran");
  }
  return Lines;
}
