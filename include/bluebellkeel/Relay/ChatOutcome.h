#ifndef BLUEBELLKEEL_RELAY_CHATOUTCOME_H
#define BLUEBELLKEEL_RELAY_CHATOUTCOME_H

#include "bluebellkeel/Policy/PlanStep.h"
#include "bluebellkeel/Relay/TokenUsage.h"
#include <tuple>

namespace bluebellkeel {

/// The outcome of a complete chat response: the plan step that produced it and
/// its token usage.
class chat_outcome : public comparable<chat_outcome> {
public:
  chat_outcome(plan_step Step, token_usage Summary)
      : Step(std::move(Step)), Summary(Summary) {}

  const plan_step &step() const { return Step; }
  const token_usage &summary() const { return Summary; }
  auto key() const { return std::tie(Step, Summary); }

private:
  plan_step Step;
  token_usage Summary;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_CHATOUTCOME_H
