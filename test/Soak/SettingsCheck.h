#ifndef TEST_SOAK_SETTINGSCHECK_H
#define TEST_SOAK_SETTINGSCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that each configuration is in force in time and that a gateway
/// process never goes back to an earlier one.
class settings_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SETTINGSCHECK_H
