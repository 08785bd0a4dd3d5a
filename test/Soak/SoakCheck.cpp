#include "SoakCheck.h"
#include "ExecutionCountCheck.h"
#include "NoticeCheck.h"
#include "RecoveryCheck.h"
#include "RefusalCheck.h"
#include "ResponseCheck.h"
#include "RetryBudgetCheck.h"
#include "SettingsCheck.h"
#include "ShutdownCheck.h"
#include "TimeLimitCheck.h"

using namespace bluebellkeel;

std::vector<std::unique_ptr<soak_check>> bluebellkeel::allSoakChecks() {
  std::vector<std::unique_ptr<soak_check>> Checks;
  Checks.push_back(std::make_unique<execution_count_check>());
  Checks.push_back(std::make_unique<refusal_check>());
  Checks.push_back(std::make_unique<response_check>());
  Checks.push_back(std::make_unique<time_limit_check>());
  Checks.push_back(std::make_unique<settings_check>());
  Checks.push_back(std::make_unique<retry_budget_check>());
  Checks.push_back(std::make_unique<shutdown_check>());
  Checks.push_back(std::make_unique<notice_check>());
  Checks.push_back(std::make_unique<recovery_check>());
  return Checks;
}
