#ifndef TEST_SOAK_REFUSALCHECK_H
#define TEST_SOAK_REFUSALCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that a request whose refusal states that it did not run never ran.
class refusal_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_REFUSALCHECK_H
