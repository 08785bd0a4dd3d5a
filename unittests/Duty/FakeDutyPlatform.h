#ifndef UNITTESTS_DUTY_FAKEDUTYPLATFORM_H
#define UNITTESTS_DUTY_FAKEDUTYPLATFORM_H

#include "bluebellkeel/Duty.h"
#include <functional>
#include <vector>

namespace bluebellkeel {

/// Records the calls of all instances and refuses lower fence tokens.
class fake_duty_platform final : public duty_platform {
public:
  struct call {
    instance_id Holder;
    std::uint64_t Token;
    usage_report Report;
    monotonic_time At;
  };

  struct ordered {
    instance_id Holder;
    std::uint64_t Token;
    scale_order Order;
  };

  explicit fake_duty_platform(const time_source &Clock) : Clock(Clock) {}

  /// If set, the outcome of the next calls; they still arrive.
  std::optional<duty_outcome> Outcome;
  /// Called before a call is carried out.
  std::function<void()> OnCall;
  std::vector<call> Calls;
  std::vector<ordered> Orders;
  std::uint64_t HighestToken = 0;

  duty_outcome reportUsage(const instance_id &Holder, std::uint64_t Token,
                           const usage_report &Report) override {
    if (OnCall)
      OnCall();
    if (Token < HighestToken)
      return duty_outcome::Fenced;
    HighestToken = Token;
    Calls.push_back({Holder, Token, Report, Clock.monotonicNow()});
    return Outcome.value_or(duty_outcome::Accepted);
  }

  duty_outcome orderUpstreams(const instance_id &Holder, std::uint64_t Token,
                              const scale_order &Order) override {
    if (OnCall)
      OnCall();
    if (Token < HighestToken)
      return duty_outcome::Fenced;
    HighestToken = Token;
    Orders.push_back({Holder, Token, Order});
    return Outcome.value_or(duty_outcome::Accepted);
  }

private:
  const time_source &Clock;
};

} // namespace bluebellkeel

#endif // UNITTESTS_DUTY_FAKEDUTYPLATFORM_H
