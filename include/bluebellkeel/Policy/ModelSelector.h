#ifndef BLUEBELLKEEL_POLICY_MODELSELECTOR_H
#define BLUEBELLKEEL_POLICY_MODELSELECTOR_H

#include "bluebellkeel/Policy/ModelQuery.h"
#include <cstddef>

namespace bluebellkeel {

/// Chooses the model of a generation among the models of a route.
class model_selector {
public:
  virtual ~model_selector() = default;

  /// Returns the position in \p Query.models() of the model to start with.
  virtual std::size_t first(const model_query &Query) const = 0;
  /// Returns the position of the model to continue with after the one at
  /// \p Current responded with \p Confidence, 0 to 100; \p Current to keep its
  /// response.
  virtual std::size_t next(const model_query &Query, std::size_t Current,
                           double Confidence) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_MODELSELECTOR_H
