#ifndef BLUEBELLKEEL_POLICY_CONFIDENCESIZEPOLICY_H
#define BLUEBELLKEEL_POLICY_CONFIDENCESIZEPOLICY_H

#include "bluebellkeel/Policy/SizePolicy.h"

namespace bluebellkeel {

/// Begins with the smallest model and goes on with the largest when the small
/// one doubts its own answer. The busier the service, the more doubt it takes.
class confidence_size_policy final : public size_policy {
public:
  std::size_t first(const size_query &Query) const override;
  std::size_t next(const size_query &Query, std::size_t Held,
                   double Confidence) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CONFIDENCESIZEPOLICY_H
