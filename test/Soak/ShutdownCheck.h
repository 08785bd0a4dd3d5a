#ifndef TEST_SOAK_SHUTDOWNCHECK_H
#define TEST_SOAK_SHUTDOWNCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// A gateway that is told to stop answers what it took and ends in time; one
/// that is not told never ends.
class shutdown_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SHUTDOWNCHECK_H
