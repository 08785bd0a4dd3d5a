#ifndef TEST_SOAK_TIMELIMITCHECK_H
#define TEST_SOAK_TIMELIMITCHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that every request ends within the time limit of its route, unless
/// its gateway was paused or killed meanwhile.
class time_limit_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_TIMELIMITCHECK_H
