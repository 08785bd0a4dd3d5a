#ifndef BLUEBELLKEEL_LIB_GATEWAY_COUNTEDDUTIES_H
#define BLUEBELLKEEL_LIB_GATEWAY_COUNTEDDUTIES_H

#include "bluebellkeel/Duty/DutyPlatform.h"
#include "bluebellkeel/Telemetry/Metrics.h"

namespace bluebellkeel {

/// Counts the calls that go to another duty_platform.
class counted_duties final : public duty_platform {
public:
  counted_duties(duty_platform &Next, metrics &Metrics)
      : Next(Next), Metrics(Metrics) {}

  duty_outcome reportUsage(const instance_id &Holder, std::uint64_t Token,
                           const usage_report &Report) override {
    return count("usage", Next.reportUsage(Holder, Token, Report));
  }
  duty_outcome orderUpstreams(const instance_id &Holder, std::uint64_t Token,
                              const scale_order &Order) override {
    return count("scale", Next.orderUpstreams(Holder, Token, Order));
  }

private:
  duty_outcome count(std::string_view Call, duty_outcome Outcome) {
    Metrics.countDutyCall(Call, toString(Outcome));
    return Outcome;
  }

  duty_platform &Next;
  metrics &Metrics;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_COUNTEDDUTIES_H
