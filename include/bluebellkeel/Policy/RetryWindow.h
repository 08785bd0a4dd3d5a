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

/// Limits the retries that this instance sends to each service. Within any
/// window it allows a share of the instance's own requests and its part of the
/// slack, so that all instances together stay within the rules.
class retry_window {
public:
  retry_window(retry_rules Rules, const time_source &Clock)
      : Rules(Rules), Clock(Clock) {}

  /// Replaces the rules; takes effect at once.
  void reconfigure(retry_rules Newer) { Rules.set(Newer); }
  /// Records a caller's request for \p Service.
  void noteRequest(const service_id &Service);
  /// Returns true if a retry may be sent, and counts it.
  ///
  /// \param Instances number of instances that share the slack.
  bool spend(const service_id &Service, std::size_t Instances);

private:
  struct history {
    std::deque<monotonic_time> Requests;
    std::deque<monotonic_time> Retries;
  };

  using history_map = std::map<service_id, history>;

  /// Removes the times before \p Since.
  static void removeExpired(std::deque<monotonic_time> &Times,
                            monotonic_time Since);

  guarded_value<retry_rules> Rules;
  const time_source &Clock;
  sharded<history_map> Histories;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_RETRYWINDOW_H
