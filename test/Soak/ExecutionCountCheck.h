#ifndef TEST_SOAK_EXECUTIONCOUNTCHECK_H
#define TEST_SOAK_EXECUTIONCOUNTCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that no request runs more often than the attempts of its route allow.
class execution_count_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_EXECUTIONCOUNTCHECK_H
