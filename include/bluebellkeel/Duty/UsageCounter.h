#ifndef BLUEBELLKEEL_DUTY_USAGECOUNTER_H
#define BLUEBELLKEEL_DUTY_USAGECOUNTER_H

#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Duty/DutyTimes.h"
#include "bluebellkeel/Duty/UsageListener.h"
#include "bluebellkeel/Duty/UsageReport.h"
#include <vector>

namespace bluebellkeel {

/// Counts the requests that upstreams began for this instance, by window and
/// account. Thread-safe.
class usage_counter final : public usage_listener {
public:
  /// Windows that are kept: those whose report may not be recorded yet.
  static constexpr std::uint64_t MaxWindows = 4;

  usage_counter(duty_times Times, const time_source &Clock)
      : Times(Times), Clock(Clock) {}

  void onRequestBegun(const account_id &Account) override;
  /// Returns the counts of the windows that are kept, oldest first. Forgets
  /// older ones.
  std::vector<usage_report> counts();

private:
  using window_map = std::map<std::uint64_t, usage_report::count_map>;

  const duty_times Times;
  const time_source &Clock;
  sharded<window_map> Windows;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_USAGECOUNTER_H
