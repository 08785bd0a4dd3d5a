#ifndef BLUEBELLKEEL_POLICY_RETRYRULES_H
#define BLUEBELLKEEL_POLICY_RETRYRULES_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// Limits on the retries that all instances together send to one service.
class retry_rules : public comparable<retry_rules> {
public:
  retry_rules(double Ratio, double Slack, milliseconds Window)
      : Ratio(Ratio), Slack(Slack), Window(Window) {}

  /// Retries allowed per request within a window.
  double ratio() const { return Ratio; }
  /// Retries allowed per window in addition to the ratio.
  double slack() const { return Slack; }
  milliseconds window() const { return Window; }
  auto key() const { return std::tie(Ratio, Slack, Window); }

private:
  double Ratio;
  double Slack;
  milliseconds Window;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_RETRYRULES_H
