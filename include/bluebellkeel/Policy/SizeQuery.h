#ifndef BLUEBELLKEEL_POLICY_SIZEQUERY_H
#define BLUEBELLKEEL_POLICY_SIZEQUERY_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Prompt.h"
#include "bluebellkeel/Routing/PricedModel.h"
#include <vector>

namespace bluebellkeel {

/// The input of a size_policy.
class size_query : public comparable<size_query> {
public:
  size_query(std::vector<priced_model> Sizes, prompt Prompt, double Occupancy,
             milliseconds Objective, milliseconds Spent)
      : Sizes(std::move(Sizes)), Prompt(std::move(Prompt)),
        Occupancy(Occupancy), Objective(Objective), Spent(Spent) {}

  /// Models of the route, smallest first.
  const std::vector<priced_model> &sizes() const { return Sizes; }
  const prompt &text() const { return Prompt; }
  /// Running requests per slot of the service: 0 when idle, above 1 when
  /// overloaded.
  double occupancy() const { return Occupancy; }
  /// Objective for the time to the first event.
  milliseconds objective() const { return Objective; }
  /// Time since the request arrived.
  milliseconds spent() const { return Spent; }
  auto key() const {
    return std::tie(Sizes, Prompt, Occupancy, Objective, Spent);
  }

private:
  std::vector<priced_model> Sizes;
  prompt Prompt;
  double Occupancy;
  milliseconds Objective;
  milliseconds Spent;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_SIZEQUERY_H
