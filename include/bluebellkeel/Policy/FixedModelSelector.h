#ifndef BLUEBELLKEEL_POLICY_FIXEDMODELSELECTOR_H
#define BLUEBELLKEEL_POLICY_FIXEDMODELSELECTOR_H

#include "bluebellkeel/Policy/ModelSelector.h"
#include <algorithm>

namespace bluebellkeel {

/// Baseline policy: always uses the model at one position.
class fixed_model_selector final : public model_selector {
public:
  explicit fixed_model_selector(std::size_t Position) : Position(Position) {}

  std::size_t first(const model_query &Query) const override {
    return std::min(Position, Query.models().size() - 1);
  }
  std::size_t next(const model_query & /*Query*/, std::size_t Current,
                   double /*Confidence*/) const override {
    return Current;
  }

private:
  std::size_t Position;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_FIXEDMODELSELECTOR_H
