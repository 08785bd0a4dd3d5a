#include "RetryBudgetCheck.h"

using namespace bluebellkeel;

/// `retry_ratio` and `retry_slack` in the settings of the gateways.
static constexpr double Ratio = 0.9;
static constexpr double Slack = 56;

std::vector<std::string>
retry_budget_check::violations(const soak_history &History) const {
  double Runs = 0;
  for (const auto &Attempt : History.Attempts)
    Runs += History.runsOf(Attempt.id());
  auto Requests = static_cast<double>(History.Attempts.size());
  if (Runs <= Requests * (1 + Ratio) + Slack)
    return {};
  return {std::to_string(Runs) + " runs of " + std::to_string(Requests) +
          " requests"};
}
