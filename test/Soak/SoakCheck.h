#ifndef TEST_SOAK_SOAKCHECK_H
#define TEST_SOAK_SOAKCHECK_H

#include "SoakHistory.h"
#include <memory>
#include <string>
#include <vector>

namespace bluebellkeel {

/// One promise that is checked from what callers and upstreams saw.
class soak_check {
public:
  virtual ~soak_check() = default;

  /// A line for each time that the promise was broken in \p History, which may
  /// still grow.
  virtual std::vector<std::string>
  violations(const soak_history &History) const = 0;
};

/// All of them.
std::vector<std::unique_ptr<soak_check>> allSoakChecks();

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKCHECK_H
