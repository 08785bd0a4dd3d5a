#ifndef BLUEBELLKEEL_POLICY_READINGSPEEDTRACKER_H
#define BLUEBELLKEEL_POLICY_READINGSPEEDTRACKER_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/FirstTokenEstimate.h"
#include <map>

namespace bluebellkeel {

/// Learns how fast the upstreams of each service read prompts, from the times
/// to the first token of this instance's requests.
class reading_speed_tracker {
public:
  /// Weighted prompt tokens per millisecond before anything was measured.
  static constexpr double StartSpeed = 200;
  /// The learnt speed stays within this factor of StartSpeed.
  static constexpr double MaxChange = 8;
  /// Requests that read for less than this time, in milliseconds, say little
  /// about the speed.
  static constexpr double MinReading = 25;

  /// Returns the weighted prompt tokens per millisecond that an upstream of
  /// \p Service reads at its usual speed.
  double speedOf(const service_id &Service);
  /// Records that the first token arrived \p Taken after the request was sent,
  /// when \p Expected was the estimate.
  void noteFirstToken(const service_id &Service,
                      const first_token_estimate &Expected, milliseconds Taken);

private:
  /// Natural logarithms of the speed relative to StartSpeed.
  sharded<std::map<service_id, double>> Changes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_READINGSPEEDTRACKER_H
