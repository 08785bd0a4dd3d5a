#include "SoakCheck.h"
#include "AnswerCheck.h"
#include "LimitCheck.h"
#include "RecoveryCheck.h"
#include "RefusalCheck.h"
#include "RepeatCheck.h"
#include "RunCheck.h"
#include "SettingsCheck.h"
#include "StopCheck.h"

using namespace bluebellkeel;

std::vector<std::unique_ptr<soak_check>> bluebellkeel::allSoakChecks() {
  std::vector<std::unique_ptr<soak_check>> Checks;
  Checks.push_back(std::make_unique<run_check>());
  Checks.push_back(std::make_unique<refusal_check>());
  Checks.push_back(std::make_unique<answer_check>());
  Checks.push_back(std::make_unique<limit_check>());
  Checks.push_back(std::make_unique<settings_check>());
  Checks.push_back(std::make_unique<repeat_check>());
  Checks.push_back(std::make_unique<stop_check>());
  Checks.push_back(std::make_unique<recovery_check>());
  return Checks;
}
