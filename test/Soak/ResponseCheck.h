#ifndef TEST_SOAK_RESPONSECHECK_H
#define TEST_SOAK_RESPONSECHECK_H

#include "SoakCheck.h"

namespace bluebellkeel {

/// An answer is the caller's own; a stream is in order, without a gap, and
/// whole if it ends as such.
class response_check final : public soak_check {
public:
  std::vector<std::string>
  violations(const soak_history &History) const override;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_RESPONSECHECK_H
