#include "ExecutionCountCheck.h"

using namespace bluebellkeel;

static int maxRuns(request_kind Kind) {
  switch (Kind) {
  case request_kind::NonIdempotent:
    return 1;
  case request_kind::Idempotent:
  case request_kind::Probe:
    return 2;
  case request_kind::Stream:
    return 3;
  }
  return 1;
}

std::vector<std::string>
execution_count_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &Attempt : History.Attempts) {
    int Runs = History.runsOf(Attempt.id());
    if (Runs > maxRuns(Attempt.kind()))
      Lines.push_back(Attempt.id() + " ran " + std::to_string(Runs) + " times");
  }
  return Lines;
}
