#ifndef TEST_SOAK_REFUSALCHECK_H
#define TEST_SOAK_REFUSALCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Who is told that a request did not run is told the truth.
class refusal_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_REFUSALCHECK_H
