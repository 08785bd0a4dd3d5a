#ifndef TEST_SOAK_RETRYBUDGETCHECK_H
#define TEST_SOAK_RETRYBUDGETCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that retries stay within the budget that all gateways share.
class retry_budget_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_RETRYBUDGETCHECK_H
