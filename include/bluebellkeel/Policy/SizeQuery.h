#ifndef BLUEBELLKEEL_POLICY_SIZEQUERY_H
#define BLUEBELLKEEL_POLICY_SIZEQUERY_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Prompt.h"
#include "bluebellkeel/Routing/PricedModel.h"
#include <vector>

namespace bluebellkeel {

/// What the choice of a model's size rests on.
class size_query : public comparable<size_query> {
public:
  size_query(std::vector<priced_model> Sizes, prompt Prompt, double Occupancy,
             milliseconds Objective, milliseconds Spent)
      : Sizes(std::move(Sizes)), Prompt(std::move(Prompt)),
        Occupancy(Occupancy), Objective(Objective), Spent(Spent) {}

  /// Smallest first.
  const std::vector<priced_model> &sizes() const { return Sizes; }
  const prompt &text() const { return Prompt; }
  /// Part of the service's slots that is taken, 0 to 1 and more.
  double occupancy() const { return Occupancy; }
  /// Time in which the first event is in time.
  milliseconds objective() const { return Objective; }
  /// Time since the request came.
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
