#ifndef BLUEBELLKEEL_POLICY_FIRSTTOKENESTIMATE_H
#define BLUEBELLKEEL_POLICY_FIRSTTOKENESTIMATE_H

#include "bluebellkeel/Core/Comparable.h"
#include <tuple>

namespace bluebellkeel {

/// Expected time from sending a request to an upstream until the first token
/// of its response, in milliseconds.
class first_token_estimate : public comparable<first_token_estimate> {
public:
  first_token_estimate() = default;
  /// \p Queue is the time until the upstream gets to the prompt, \p Reading the
  /// time in which it reads the prompt; both at the upstream's present speed.
  first_token_estimate(double Queue, double Reading)
      : Queue(Queue), Reading(Reading) {}

  double queue() const { return Queue; }
  double reading() const { return Reading; }
  double total() const { return Queue + Reading; }
  auto key() const { return std::tie(Queue, Reading); }

private:
  double Queue = 0;
  double Reading = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_FIRSTTOKENESTIMATE_H
