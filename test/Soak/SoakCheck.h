#ifndef TEST_SOAK_SOAKCHECK_H
#define TEST_SOAK_SOAKCHECK_H

#include "SoakHistory.h"
#include <memory>
#include <string>
#include <vector>

namespace bluebellkeel {

/// An invariant of the system, checked against what callers and upstreams
/// observed.
class soak_check {
public:
  virtual ~soak_check() = default;

  /// Returns a line for each violation in \p History, which may be that of an
  /// unfinished run.
  virtual std::vector<std::string>
  violations(const soak_history &History) const = 0;
};

/// Returns one check of each type.
std::vector<std::unique_ptr<soak_check>> allSoakChecks();

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKCHECK_H
