#ifndef BLUEBELLKEEL_SCALE_SCALEPLANNER_H
#define BLUEBELLKEEL_SCALE_SCALEPLANNER_H

#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Scale/ScaleInput.h"
#include "bluebellkeel/Scale/UpstreamCountPolicy.h"
#include "bluebellkeel/Scale/WorkHistory.h"
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bluebellkeel {

/// Finds the orders that are due, and keeps what lasts between decisions: the
/// recent work and the last orders. Used by one coroutine.
class scale_planner {
public:
  static constexpr milliseconds DecisionInterval{500};
  /// Time beyond the boot time before fewer than the last order are ordered.
  static constexpr milliseconds DownDelay{3000};
  /// Time beyond the boot time after which what is present should match.
  static constexpr milliseconds MatchMargin{4000};
  /// Time for which an order without an answer may still be applied, and the
  /// interval at which the newest is repeated meanwhile.
  static constexpr milliseconds DoubtTime{10000};
  static constexpr milliseconds DoubtInterval{3000};

  scale_planner(scale_input &Input, const upstream_count_policy &Policy,
                const time_source &Clock, event_log &Log)
      : Input(Input), Policy(Policy), Clock(Clock), Log(Log) {}

  /// Notes the work that is known now. Successors do so as well, so that they
  /// know its peak when they take over.
  void observe();
  /// Decides from what was observed last, if it is time to.
  void decide();
  /// Returns the orders that are due after the last decision.
  const std::vector<scale_order> &due() const { return Due; }
  /// Records that an order took effect, or that it may.
  void noteSent(const scale_order &Order, bool InDoubt);
  /// Forgets the orders of an earlier term, after which others may have
  /// ordered.
  void forgetOrders() { Sent.clear(); }

private:
  using subject = std::pair<service_id, data_centre_id>;

  struct order_state {
    std::uint32_t Count = 0;
    monotonic_time At;
    std::optional<monotonic_time> InDoubtSince;
  };

  void decideFor(const scale_observation &Now);
  bool isDue(const scale_order &Order, const scale_observation &Now) const;
  void logDecision(const scale_order &Order, const scale_query &Query) const;
  scale_query::order_map lastOrders(const service_id &Service) const;

  scale_input &Input;
  const upstream_count_policy &Policy;
  const time_source &Clock;
  event_log &Log;
  std::map<service_id, work_history> Histories;
  std::map<subject, order_state> Sent;
  std::vector<scale_order> Due;
  std::vector<scale_observation> Observed;
  monotonic_time ObservedAt;
  monotonic_time DecidedAt;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SCALEPLANNER_H
