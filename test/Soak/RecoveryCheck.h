#ifndef TEST_SOAK_RECOVERYCHECK_H
#define TEST_SOAK_RECOVERYCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that every request is served after the end of all faults.
class recovery_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_RECOVERYCHECK_H
