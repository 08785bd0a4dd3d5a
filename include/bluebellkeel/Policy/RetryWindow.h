#ifndef BLUEBELLKEEL_POLICY_RETRYWINDOW_H
#define BLUEBELLKEEL_POLICY_RETRYWINDOW_H

#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Policy/RetryRules.h"
#include <deque>
#include <map>

namespace bluebellkeel {

/// Bounds the repeats that this instance sends to each service: within any
/// window, a share of its own requests and its part of the slack. The parts of
/// all instances add up to no more than the rules allow.
class retry_window {
public:
  retry_window(retry_rules Rules, const time_source &Clock)
      : Rules(Rules), Clock(Clock) {}

  /// Other rules hold from now on.
  void adopt(retry_rules Newer) { Rules.set(Newer); }
  /// A caller's request for \p Service came.
  void noteRequest(const service_id &Service);
  /// True when a repeat may be sent; it then counts.
  ///
  /// \param Instances how many share the slack.
  bool spend(const service_id &Service, std::size_t Instances);

private:
  struct history {
    std::deque<monotonic_time> Requests;
    std::deque<monotonic_time> Repeats;
  };

  using history_map = std::map<service_id, history>;

  static void dropOld(std::deque<monotonic_time> &Times, monotonic_time Since);

  guarded_value<retry_rules> Rules;
  const time_source &Clock;
  sharded<history_map> Histories;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_RETRYWINDOW_H
