#ifndef TEST_SOAK_SHUTDOWNCHECK_H
#define TEST_SOAK_SHUTDOWNCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that a gateway answers all accepted requests after a stop request,
/// also those that come after it, and exits in time, and that it never exits
/// without one.
class shutdown_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SHUTDOWNCHECK_H
