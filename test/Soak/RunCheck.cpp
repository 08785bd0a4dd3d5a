#include "RunCheck.h"

using namespace bluebellkeel;

static int mostRuns(request_kind Kind) {
  switch (Kind) {
  case request_kind::Once:
    return 1;
  case request_kind::Again:
  case request_kind::Probe:
    return 2;
  case request_kind::Stream:
    return 3;
  }
  return 1;
}

std::vector<std::string>
run_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &Attempt : History.Attempts) {
    int Runs = History.runsOf(Attempt.id());
    if (Runs > mostRuns(Attempt.kind()))
      Lines.push_back(Attempt.id() + " ran " + std::to_string(Runs) + " times");
  }
  return Lines;
}
