#ifndef BLUEBELLKEEL_POLICY_SIZEPOLICY_H
#define BLUEBELLKEEL_POLICY_SIZEPOLICY_H

#include "bluebellkeel/Policy/SizeQuery.h"
#include <cstddef>

namespace bluebellkeel {

/// Chooses the model of a generation among a route's sizes.
class size_policy {
public:
  virtual ~size_policy() = default;

  /// Position of the size to begin with.
  virtual std::size_t first(const size_query &Query) const = 0;
  /// Position of the size to go on with after the size at \p Held answered
  /// with \p Confidence, 0 to 100; \p Held to keep the answer.
  virtual std::size_t next(const size_query &Query, std::size_t Held,
                           double Confidence) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_SIZEPOLICY_H
