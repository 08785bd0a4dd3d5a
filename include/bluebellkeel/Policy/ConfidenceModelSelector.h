#ifndef BLUEBELLKEEL_POLICY_CONFIDENCEMODELSELECTOR_H
#define BLUEBELLKEEL_POLICY_CONFIDENCEMODELSELECTOR_H

#include "bluebellkeel/Policy/ModelSelector.h"

namespace bluebellkeel {

/// Starts with the smallest model and escalates to the largest one when the
/// confidence in the response is below a threshold. The threshold falls as the
/// service's slots fill.
class confidence_model_selector final : public model_selector {
public:
  std::size_t first(const model_query &Query) const override;
  std::size_t next(const model_query &Query, std::size_t Current,
                   double Confidence) const override;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_CONFIDENCEMODELSELECTOR_H
