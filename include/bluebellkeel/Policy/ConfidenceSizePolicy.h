#ifndef BLUEBELLKEEL_POLICY_CONFIDENCESIZEPOLICY_H
#define BLUEBELLKEEL_POLICY_CONFIDENCESIZEPOLICY_H

#include "bluebellkeel/Policy/SizePolicy.h"

namespace bluebellkeel {

/// Starts with the smallest model and escalates to the largest one when the
/// confidence in the answer is below a threshold. The threshold falls as the
/// service's slots fill.
class confidence_size_policy final : public size_policy {
public:
  std::size_t first(const size_query &Query) const override;
  std::size_t next(const size_query &Query, std::size_t Current,
                   double Confidence) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CONFIDENCESIZEPOLICY_H
