#ifndef TEST_SOAK_RESPONSECHECK_H
#define TEST_SOAK_RESPONSECHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// Checks that each answer belongs to its request, and that a stream is in
/// order, without gaps, and complete if it ends normally.
class response_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_RESPONSECHECK_H
