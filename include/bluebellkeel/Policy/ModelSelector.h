#ifndef BLUEBELLKEEL_POLICY_MODELSELECTOR_H
#define BLUEBELLKEEL_POLICY_MODELSELECTOR_H

#include "bluebellkeel/Policy/ModelQuery.h"
#include <cstddef>

namespace bluebellkeel {

/// Chooses the model of a generation among the sizes of a route.
class model_selector {
public:
  virtual ~model_selector() = default;

  /// Returns the position of the size to start with.
  virtual std::size_t first(const model_query &Query) const = 0;
  /// Returns the position of the size to continue with after \p Current
  /// answered with \p Confidence, 0 to 100; \p Current to keep the answer.
  virtual std::size_t next(const model_query &Query, std::size_t Current,
                           double Confidence) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_MODELSELECTOR_H
