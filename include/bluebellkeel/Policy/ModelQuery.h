#ifndef BLUEBELLKEEL_POLICY_MODELQUERY_H
#define BLUEBELLKEEL_POLICY_MODELQUERY_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Prompt.h"
#include "bluebellkeel/Routing/PricedModel.h"
#include <vector>

namespace bluebellkeel {

/// The input of a model_selector.
class model_query : public comparable<model_query> {
public:
  model_query(std::vector<priced_model> Models, prompt Prompt, double Occupancy,
              milliseconds Objective, milliseconds Elapsed)
      : Models(std::move(Models)), Prompt(std::move(Prompt)),
        Occupancy(Occupancy), Objective(Objective), Elapsed(Elapsed) {}

  /// Models of the route, smallest first.
  const std::vector<priced_model> &models() const { return Models; }
  const prompt &requestPrompt() const { return Prompt; }
  /// Running requests per slot of the service: 0 when idle, above 1 when
  /// overloaded.
  double occupancy() const { return Occupancy; }
  /// Objective for the time to the first event.
  milliseconds objective() const { return Objective; }
  /// Time since the request arrived.
  milliseconds elapsed() const { return Elapsed; }
  auto key() const {
    return std::tie(Models, Prompt, Occupancy, Objective, Elapsed);
  }

private:
  std::vector<priced_model> Models;
  prompt Prompt;
  double Occupancy;
  milliseconds Objective;
  milliseconds Elapsed;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_MODELQUERY_H
