#ifndef BLUEBELLKEEL_POLICY_FIXEDSIZEPOLICY_H
#define BLUEBELLKEEL_POLICY_FIXEDSIZEPOLICY_H

#include "bluebellkeel/Policy/SizePolicy.h"
#include <algorithm>

namespace bluebellkeel {

/// Baseline policy: always uses the model size at one position.
class fixed_size_policy final : public size_policy {
public:
  explicit fixed_size_policy(std::size_t Position) : Position(Position) {}

  std::size_t first(const size_query &Query) const override {
    return std::min(Position, Query.sizes().size() - 1);
  }
  std::size_t next(const size_query & /*Query*/, std::size_t Current,
                   double /*Confidence*/) const override {
    return Current;
  }

private:
  std::size_t Position;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_FIXEDSIZEPOLICY_H
